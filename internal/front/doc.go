// Package front is the kernel service that accepts requests from clients and from the backend server on its VM. As their entry node
// it decides whether to admit each request, picks the executing node, which passes the request to its own backend server, and retries
// failed attempts.
package front
