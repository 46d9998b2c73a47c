// Package limit adapts the concurrency limit of one executing node to what its backend server can carry.
package limit
