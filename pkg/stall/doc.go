// Package stall detects a backend server that has stopped responding, as opposed to one that is slow or runs long calls.
package stall
