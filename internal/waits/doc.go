// Package waits lets goroutines pause until their context ends.
package waits
