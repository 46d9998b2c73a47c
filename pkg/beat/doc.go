// Package beat tracks the state of a node's local backend server from its heartbeats and deregistrations. The server may restart, so
// the package also decides which process a heartbeat belongs to and whether that process is still the current one.
package beat
