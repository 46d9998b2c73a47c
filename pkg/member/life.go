package member

import (
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/states"
)

// ErrTransition is returned for a state transition that the lifecycle of a node does not allow.
var ErrTransition = errors.New("state change is not allowed")

// trigger is an event of the lifecycle state machine.
type trigger string

const (
	triggerWarm        trigger = "warm"
	triggerServe       trigger = "serve"
	triggerDrain       trigger = "drain"
	triggerLeave       trigger = "leave"
	triggerSuspect     trigger = "suspect"
	triggerDeclareDead trigger = "condemn"
)

// lifecycle is stateless, so all entries share it.
var lifecycle = newLifecycle()

func newLifecycle() states.Machine[State] {
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
		Permit(triggerDeclareDead, StateDead)

	return machine
}

// fire returns the next state, or an error that wraps ErrTransition.
func fire(from State, event trigger) (State, error) {
	state, err := lifecycle.Fire(from, event)
	if err != nil {
		return from, errors.Wrapf(ErrTransition, "%s from state %s", event, from)
	}

	return state, nil
}

// announcementTrigger returns the trigger with which a node announces the state; suspect and dead cannot be announced.
func announcementTrigger(to State) (trigger, error) {
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
