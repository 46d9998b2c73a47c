package peers

import (
	"context"
	"net/rpc"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
)

// link is one pooled connection to a peer; its fields are guarded by the pool's lock.
type link struct {
	address  string
	client   *rpc.Client
	lastUsed time.Time
	inflight int
	// retired links take no new call and close after their last one.
	retired bool
	// opened is closed once the dial ended, err is its result.
	opened chan struct{}
	err    error
}

// exchange runs one call on the link; the reply is set only when the error is nil.
func (l *link) exchange(ctx context.Context, method string, args, reply any) error {
	fresh := reflect.New(reflect.TypeOf(reply).Elem())
	pending := l.client.Go(method, args, fresh.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return &CallError{Address: l.address, Kind: ErrTimeout, Cause: ctx.Err()}
	case <-pending.Done:
	}
	if err := pending.Error; err != nil {
		return &CallError{Address: l.address, Kind: kindOf(err), Cause: err}
	}
	reflect.ValueOf(reply).Elem().Set(fresh.Elem())

	return nil
}

// kindOf tells what an error of net/rpc means.
func kindOf(err error) error {
	var remote rpc.ServerError
	switch {
	case errors.As(err, &remote):
		return ErrRemote
	case errors.Is(err, rpc.ErrShutdown):
		return errNotSent
	default:
		return ErrConnectionLost
	}
}
