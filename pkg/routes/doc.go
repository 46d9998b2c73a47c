// Package routes selects the route of a request by host and path prefix, from one immutable version of the operators' routes.
package routes
