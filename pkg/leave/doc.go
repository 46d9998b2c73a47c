// Package leave decides when a node that is being stopped refuses further calls to its backend server, so that nodes of one service that
// are stopped in turn or together are not all away at a time. It has no goroutine, clock or socket.
package leave
