// Package panics turns a panic into a logged error, so that it ends one piece of work and not the process.
package panics
