package states

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

// Machine is a state machine without a state of its own. Values share one, because building it costs more than a transition.
type Machine[S comparable] struct {
	*stateless.StateMachine
}

// stateKey is the context key of the pointer to the state that a transition reads and writes.
type stateKey struct{}

// New returns a machine without transitions; configure them before the first call of Fire.
func New[S comparable]() Machine[S] {
	return Machine[S]{stateless.NewStateMachineWithExternalStorage(load[S], save[S], stateless.FiringImmediate)}
}

// Fire returns the state that follows the event, or the unchanged state and an error if the event is not allowed in it.
func (m Machine[S]) Fire(from S, event any) (S, error) {
	state := from
	if err := m.FireCtx(context.WithValue(context.Background(), stateKey{}, &state), event); err != nil {
		return from, err
	}

	return state, nil
}

func load[S comparable](ctx context.Context) (stateless.State, error) {
	state, ok := ctx.Value(stateKey{}).(*S)
	if !ok {
		return nil, errors.New("no state in context")
	}

	return *state, nil
}

func save[S comparable](ctx context.Context, next stateless.State) error {
	state, ok := ctx.Value(stateKey{}).(*S)
	if !ok {
		return errors.New("no state in context")
	}
	typed, ok := next.(S)
	if !ok {
		return errors.Newf("state %v has an unexpected type", next)
	}
	*state = typed

	return nil
}
