package fence

import "github.com/pistachiotack/pistachiotack/pkg/states"

// State is the state of an attempt. Nodes exchange its numeric values, so their order must not change.
type State uint8

// States of an attempt. StateDone and StateFenced are final.
const (
	StateUnseen State = iota
	StateQueued
	StateRunning
	StateDone
	StateFenced
)

// String returns the name used in logs and responses.
func (s State) String() string {
	switch s {
	case StateUnseen:
		return "unseen"
	case StateQueued:
		return "queued"
	case StateRunning:
		return "running"
	case StateDone:
		return "done"
	case StateFenced:
		return "fenced"
	default:
		return "invalid"
	}
}

type event uint8

const (
	eventArrive event = iota
	eventStart
	eventFinish
	eventRefuse
	eventFence
)

// transitions is the state machine of an attempt.
var transitions = newTransitions()

func newTransitions() states.Machine[State] {
	m := states.New[State]()
	m.Configure(StateUnseen).
		Permit(eventArrive, StateQueued).
		Permit(eventFence, StateFenced)
	m.Configure(StateQueued).
		Permit(eventStart, StateRunning).
		Permit(eventRefuse, StateFenced).
		Permit(eventFence, StateFenced)
	m.Configure(StateRunning).
		Permit(eventFinish, StateDone).
		Permit(eventRefuse, StateFenced)
	m.Configure(StateDone)
	m.Configure(StateFenced)

	return m
}

// fire applies the event, or returns false and keeps the state if the event is not permitted.
func (s *State) fire(e event) bool {
	next, err := transitions.Fire(*s, e)
	*s = next

	return err == nil
}
