// Package leave decides which calls a node that is being stopped refuses: those to its backend server, so that nodes of one service that are
// stopped in turn or together are not all away at a time, and those that may outlast the node.
package leave
