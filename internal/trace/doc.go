// Package trace writes the decision log without ever blocking a call, and keeps the latest decisions for explain.
package trace
