package states

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

// Machine is a state machine without a state of its own, because building one costs more than a transition.
type Machine[S comparable] struct {
	*stateless.StateMachine
}

// storage is the context key under which a machine finds the state that it works on.
type storage struct{}

// New returns a machine that still has to be configured.
func New[S comparable]() Machine[S] {
	return Machine[S]{stateless.NewStateMachineWithExternalStorage(load[S], save[S], stateless.FiringImmediate)}
}

// Fire returns the state that follows the event, or the state from before and an error if the event is not allowed there.
func (m Machine[S]) Fire(from S, event any) (S, error) {
	state := from
	if err := m.FireCtx(context.WithValue(context.Background(), storage{}, &state), event); err != nil {
		return from, err
	}

	return state, nil
}

func load[S comparable](ctx context.Context) (stateless.State, error) {
	state, ok := ctx.Value(storage{}).(*S)
	if !ok {
		return nil, errors.New("no state in context")
	}

	return *state, nil
}

func save[S comparable](ctx context.Context, next stateless.State) error {
	state, ok := ctx.Value(storage{}).(*S)
	if !ok {
		return errors.New("no state in context")
	}
	typed, ok := next.(S)
	if !ok {
		return errors.Newf("state %v has another type", next)
	}
	*state = typed

	return nil
}
