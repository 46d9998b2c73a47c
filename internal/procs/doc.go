// Package procs runs real node processes with stand-ins around them, for integration tests and for the bench.
package procs
