package fence

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

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

type storageKey struct{}

// machine is shared by all attempts; the state lives in the record that the context names.
var machine = newMachine()

func newMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(loadState, saveState, stateless.FiringImmediate)
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

func loadState(ctx context.Context) (stateless.State, error) {
	return *storage(ctx), nil
}

func saveState(ctx context.Context, state stateless.State) error {
	next, ok := state.(State)
	if !ok {
		return errors.Newf("save attempt state: unexpected type %T", state)
	}
	*storage(ctx) = next

	return nil
}

func storage(ctx context.Context) *State {
	state, _ := ctx.Value(storageKey{}).(*State)

	return state
}

// fire moves the state, or reports false where the event is not permitted.
func (s *State) fire(e event) bool {
	ctx := context.WithValue(context.Background(), storageKey{}, s)

	return machine.FireCtx(ctx, e) == nil
}
