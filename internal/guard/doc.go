// Package guard is the kernel service that executes calls on the local backend server for entry nodes, the nodes that accepted the
// requests. It queues the calls, limits how many run at once, and tracks the state of the backend server by its heartbeats. Nothing
// else sends requests to that server.
package guard
