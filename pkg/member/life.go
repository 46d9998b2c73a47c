package member

import (
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/states"
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

// life is shared by all entries.
var life = newLife()

func newLife() states.Machine[State] {
	machine := states.New[State]()
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

// fire returns the state that follows, or an error that wraps ErrTransition.
func fire(from State, event trigger) (State, error) {
	state, err := life.Fire(from, event)
	if err != nil {
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
