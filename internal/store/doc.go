// Package store implements the service `store`, an HTTP client of the platform on which the nodes are deployed. The platform offers
// a table service, which holds rows with ETags and conditional writes, and an object store.
package store
