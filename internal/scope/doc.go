// Package scope holds the state that a call inherits from the root request, which a caller sends to its entry node, or from the
// execution that makes the call: identity, rank, credits, deadline and settings.
package scope
