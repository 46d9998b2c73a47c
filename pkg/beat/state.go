package beat

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

// State is a stage in the life of a backend server as its node knows it.
type State string

// Stages of a backend server.
const (
	// StateAbsent means that no backend server is known.
	StateAbsent State = "absent"
	// StateReady means that the server takes work.
	StateReady State = "ready"
	// StateLost means that the server could not be reached since its last heartbeat.
	StateLost State = "lost"
	// StateDraining means that the server is leaving or has left.
	StateDraining State = "draining"
)

type event string

const (
	eventBeat  event = "beat"
	eventLose  event = "lose"
	eventLeave event = "leave"
	eventBegin event = "begin"
)

type stateKey struct{}

// machine is shared, with the state kept outside.
var machine = newMachine()

func newMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(load, save, stateless.FiringImmediate)
	m.Configure(StateAbsent).
		Permit(eventBeat, StateReady).
		Permit(eventBegin, StateReady).
		Permit(eventLeave, StateDraining).
		Ignore(eventLose)
	m.Configure(StateReady).
		Ignore(eventBeat).
		Ignore(eventBegin).
		Permit(eventLose, StateLost).
		Permit(eventLeave, StateDraining)
	m.Configure(StateLost).
		Permit(eventBeat, StateReady).
		Permit(eventBegin, StateReady).
		Permit(eventLeave, StateDraining).
		Ignore(eventLose)
	m.Configure(StateDraining).
		Permit(eventBegin, StateReady).
		Ignore(eventBeat).
		Ignore(eventLose).
		Ignore(eventLeave)

	return m
}

func load(ctx context.Context) (stateless.State, error) {
	state, ok := ctx.Value(stateKey{}).(*State)
	if !ok {
		return nil, errors.New("no state in context")
	}

	return *state, nil
}

func save(ctx context.Context, next stateless.State) error {
	state, ok := ctx.Value(stateKey{}).(*State)
	if !ok {
		return errors.New("no state in context")
	}
	if *state, ok = next.(State); !ok {
		return errors.Newf("state %v has another type", next)
	}

	return nil
}

// follow returns the state after an event; every event is configured for every state.
func follow(from State, happened event) State {
	state := from
	if err := machine.FireCtx(context.WithValue(context.Background(), stateKey{}, &state), happened); err != nil {
		return from
	}

	return state
}
