// Package routes matches requests to the operators' routes by host and path prefix, and distributes the requests of a route
// over its services by weight.
package routes
