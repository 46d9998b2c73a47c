// Package loops keeps the background work of a process going after an unexpected error.
package loops
