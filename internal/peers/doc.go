// Package peers implements the kernel service `control`, the RPC channel between nodes: net/rpc with timeouts, a bounded
// connection pool and traffic counters.
package peers
