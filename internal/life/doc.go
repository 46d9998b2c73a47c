// Package life monitors the local backend server with health checks and sets the node's state to match: starting until the backend
// server is healthy, serving, and draining when it announces that it will shut down.
package life
