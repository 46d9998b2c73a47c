// Package eras decides what a response of the platform's store is worth after the store has come back from an older copy. Each such
// return begins an era, and versions of one era say nothing in another. It has no goroutine, clock or socket.
package eras
