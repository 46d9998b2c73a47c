// Package mesh runs a whole fleet with its backend servers in this process, for the demo and for tests.
package mesh
