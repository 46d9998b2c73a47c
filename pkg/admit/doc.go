// Package admit implements the admission control of an executing node, which runs calls on its local backend server.
//
// A Gate starts, queues or refuses each call. It bounds the concurrency, the queue and the bytes held in buffers, and under
// overload it refuses the lowest classes first and reports the lowest rank that is still worth sending. The rank of a request
// is its priority: its class (bulk, normal, high or vital) and, within the class, a hash of its root request.
package admit
