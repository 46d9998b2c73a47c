package fence

import "github.com/pistachiotack/pistachiotack/pkg/states"

// State is one stage in the life of an attempt.
type State uint8

// States of an attempt; a done or fenced attempt never changes again.
const (
	StateUnseen State = iota
	StateQueued
	StateRunning
	StateDone
	StateFenced
)

// String returns the name used in logs and answers.
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

// life is shared by all attempts.
var life = newLife()

func newLife() states.Machine[State] {
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

// fire moves the state, or reports false where the event is not permitted.
func (s *State) fire(e event) bool {
	next, err := life.Fire(*s, e)
	*s = next

	return err == nil
}
