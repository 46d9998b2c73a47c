// Package routed builds a node for requests that are routed by host and path, out of its services.
package routed
