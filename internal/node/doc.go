// Package node assembles a node from its services, and drains it before it stops.
//
// A node runs beside at most one backend server, its local one. As the entry node, it accepts root requests from callers and outgoing
// calls of the local backend server, and forwards them to targets, which are nodes of the called service. As the executing node, it
// admits forwarded calls and runs them on its local backend server.
package node
