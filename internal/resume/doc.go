// Package resume keeps on the platform what a node must know of its backend server after a restart, and brings it back.
package resume
