// Package call defines the types that nodes exchange about a call: identifiers, envelope and feedback, priority, outcome,
// and the error of a refused call.
package call
