// Package states adapts the stateless library for state machines that many values share: the machine holds the transitions, and each
// value holds its own state.
package states
