// Package routed assembles, runs and drains a node that routes requests by host and path. As the entry node, a node accepts requests
// from clients on its VM and forwards them to other nodes; as an executing node, it passes them to its local backend server.
// What depends on the deployment is passed in as Dependencies.
package routed
