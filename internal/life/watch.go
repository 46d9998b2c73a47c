package life

import (
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// Observation is what one look at the backend server showed.
type Observation struct {
	// Reachable says that it accepted a connection, Healthy that its health page, if there is one, was good.
	Reachable bool
	Healthy   bool
	// Draining says that its health page, or an answer since the last look, told that it is leaving.
	Draining bool
}

// Tracker decides from what is seen of the backend server whether its node takes work; its owner serialises calls.
type Tracker struct {
	state member.State
	// gone says that the server that was leaving has ended, so that the next one may take work.
	gone bool
	// page says that the server has a health page.
	page bool
}

// NewTracker returns a watch on a server that has not been seen yet.
func NewTracker(page bool) *Tracker {
	return &Tracker{state: member.StateStarting, page: page}
}

// State returns the state that the node should announce.
func (w *Tracker) State() member.State {
	return w.state
}

// Observe takes a look into account and reports whether the state changed.
//
// A server that serves is not taken back for a bad health page: calls are the better evidence, and pages lag and mislead.
func (w *Tracker) Observe(sight Observation) bool {
	before := w.state
	switch {
	case sight.Draining:
		w.state = member.StateDraining
		w.gone = false
	case w.state == member.StateStarting && sight.Reachable && sight.Healthy:
		w.state = member.StateServing
	case w.state == member.StateDraining:
		w.leaving(sight)
	}

	return w.state != before
}

// leaving lets the next server take work: by its own page, or once the one that was leaving has gone.
func (w *Tracker) leaving(sight Observation) {
	if !sight.Reachable {
		w.gone = true

		return
	}
	if sight.Healthy && (w.page || w.gone) {
		w.state = member.StateServing
		w.gone = false
	}
}
