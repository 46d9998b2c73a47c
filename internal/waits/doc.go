// Package waits lets goroutines pause until their context ends, and divides the time that a context leaves.
package waits
