// Package call holds the types that describe one call on its way through the nodes.
package call
