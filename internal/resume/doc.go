// Package resume is the kernel service that saves state of a node to the platform's table and restores it after a restart of the
// node: the state of the local backend server, and the demand estimates for call trees (a request with all calls made for it).
package resume
