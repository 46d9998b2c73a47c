// Package states runs state machines that are shared by many values, each of which keeps its own state.
package states
