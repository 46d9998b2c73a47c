// Package exec runs calls from peers on the backend server beside the node.
package exec
