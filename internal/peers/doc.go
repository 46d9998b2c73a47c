// Package peers is the control channel between nodes: net/rpc with timeouts, bounded connections and counted bytes.
package peers
