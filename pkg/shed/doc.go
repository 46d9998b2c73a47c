// Package shed decides at a request's first hop whether the services that its whole call tree needs have room for it.
package shed
