// Package tune bounds what the Go runtime of a node takes of its VM, which it shares with a backend server.
package tune
