package life

import (
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// Observation is the result of one check of the backend server.
type Observation struct {
	// Reachable is true if it accepted a connection.
	Reachable bool
	// Healthy is true if its health endpoint returned a 2xx status, or if it has none.
	Healthy bool
	// Draining is true if its health endpoint, or the response to a call since the last check, said that it is draining.
	Draining bool
}

// Tracker derives the state of the node from observations of its backend server. It is not safe for concurrent use.
type Tracker struct {
	state member.State
	// wasUnreachable is true if the draining server has ended, so that the next reachable one is a new server.
	wasUnreachable bool
	// hasHealthPath is true if the server has a health endpoint.
	hasHealthPath bool
}

// NewTracker returns a tracker in state starting.
func NewTracker(hasHealthPath bool) *Tracker {
	return &Tracker{state: member.StateStarting, hasHealthPath: hasHealthPath}
}

// State returns the state that the node should announce.
func (t *Tracker) State() member.State {
	return t.state
}

// Observe applies an observation and reports whether the state changed.
//
// A failing health check does not change the state of a serving server: calls are better evidence, since health endpoints lag and
// mislead.
func (t *Tracker) Observe(observation Observation) bool {
	before := t.state
	switch {
	case observation.Draining:
		t.state = member.StateDraining
		t.wasUnreachable = false
	case t.state == member.StateStarting && observation.Reachable && observation.Healthy:
		t.state = member.StateServing
	case t.state == member.StateDraining:
		t.observeDraining(observation)
	}

	return t.state != before
}

// observeDraining returns the node to serving once a healthy server replaces the draining one. With a health endpoint, a healthy
// response that does not announce draining is enough; without one, the draining server must have been unreachable in between.
func (t *Tracker) observeDraining(observation Observation) {
	if !observation.Reachable {
		t.wasUnreachable = true

		return
	}
	if observation.Healthy && (t.hasHealthPath || t.wasUnreachable) {
		t.state = member.StateServing
		t.wasUnreachable = false
	}
}
