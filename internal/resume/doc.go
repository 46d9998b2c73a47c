// Package resume keeps on the platform what a node must know after a restart, of its backend server and of call trees, and brings
// it back.
package resume
