// Package order decides which pipelined requests of one connection run side by side, in which order their responses are sent, and
// which response closes the connection. It has no goroutine, clock or socket.
package order
