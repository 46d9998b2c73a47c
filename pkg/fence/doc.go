// Package fence holds the life of operations at one executing node, so that a call told not to have run never runs.
package fence
