package member

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

// ErrTransition is returned for a change of state that a node's life does not allow.
var ErrTransition = errors.New("state change is not allowed")

// trigger is an event in the life of a node.
type trigger string

const (
	triggerWarm    trigger = "warm"
	triggerServe   trigger = "serve"
	triggerDrain   trigger = "drain"
	triggerLeave   trigger = "leave"
	triggerSuspect trigger = "suspect"
	triggerCondemn trigger = "condemn"
)

// stateKey is the context key under which the shared machine finds the state it works on.
type stateKey struct{}

// life is shared by all entries, because building a machine costs more than a transition.
var life = newLife()

func newLife() *stateless.StateMachine {
	machine := stateless.NewStateMachineWithExternalStorage(loadState, storeState, stateless.FiringImmediate)
	machine.Configure(StateStarting).
		Permit(triggerWarm, StateWarming).
		Permit(triggerServe, StateServing).
		Permit(triggerDrain, StateDraining).
		Permit(triggerLeave, StateLeft).
		Permit(triggerSuspect, StateSuspect)
	machine.Configure(StateWarming).
		Permit(triggerServe, StateServing).
		Permit(triggerDrain, StateDraining).
		Permit(triggerLeave, StateLeft).
		Permit(triggerSuspect, StateSuspect)
	machine.Configure(StateServing).
		Permit(triggerWarm, StateWarming).
		Permit(triggerDrain, StateDraining).
		Permit(triggerLeave, StateLeft).
		Permit(triggerSuspect, StateSuspect)
	machine.Configure(StateDraining).
		Permit(triggerServe, StateServing).
		Permit(triggerLeave, StateLeft).
		Permit(triggerSuspect, StateSuspect)
	machine.Configure(StateSuspect).
		Permit(triggerCondemn, StateDead)

	return machine
}

func loadState(ctx context.Context) (stateless.State, error) {
	state, ok := ctx.Value(stateKey{}).(*State)
	if !ok {
		return nil, errors.New("no state in context")
	}

	return *state, nil
}

func storeState(ctx context.Context, next stateless.State) error {
	state, ok := ctx.Value(stateKey{}).(*State)
	if !ok {
		return errors.New("no state in context")
	}
	typed, ok := next.(State)
	if !ok {
		return errors.Newf("state %v has another type", next)
	}
	*state = typed

	return nil
}

// fire returns the state that follows, or an error that wraps ErrTransition.
func fire(from State, event trigger) (State, error) {
	state := from
	ctx := context.WithValue(context.Background(), stateKey{}, &state)
	if err := life.FireCtx(ctx, event); err != nil {
		return from, errors.Wrapf(ErrTransition, "%s from state %s", event, from)
	}

	return state, nil
}

// announcement returns the trigger by which a node itself reaches the state.
func announcement(to State) (trigger, error) {
	switch to {
	case StateWarming:
		return triggerWarm, nil
	case StateServing:
		return triggerServe, nil
	case StateDraining:
		return triggerDrain, nil
	case StateLeft:
		return triggerLeave, nil
	default:
		return "", errors.Wrapf(ErrTransition, "a node cannot announce state %s", to)
	}
}
