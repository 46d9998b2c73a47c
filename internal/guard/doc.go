// Package guard is the kernel service that admits calls from entry nodes to the local backend server. It queues them, limits how
// many run at once, and follows the state of the backend server by its heartbeats; nothing else sends calls to that server.
package guard
