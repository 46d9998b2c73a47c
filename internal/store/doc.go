// Package store is the service `store`, the client of the platform's table service and object store.
package store
