// Package front is the kernel service that accepts requests from clients and from the backend server on its VM. It decides whether
// to admit each request, picks the node that executes it, and retries failed attempts.
package front
