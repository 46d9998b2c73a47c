package peers

import (
	"context"
	"net/rpc"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
)

// pooledConn is one pooled connection to a peer. The pool's lock guards lastUsed, inflight and retired.
type pooledConn struct {
	address string
	client  *rpc.Client
	// responses bounds what the peer may send until the next call.
	responses *boundedReader
	lastUsed  time.Time
	inflight  int
	// retired connections accept no new calls and are closed after the last call in flight.
	retired bool
	// dialDone is closed when the dial has ended. Then either client or err is set.
	dialDone chan struct{}
	err      error
}

// call runs one call on the connection. The reply is set only if the error is nil, so that a late response cannot write to it.
func (c *pooledConn) call(ctx context.Context, method string, args, reply any) error {
	result := reflect.New(reflect.TypeOf(reply).Elem())
	c.responses.reset()
	call := c.client.Go(method, args, result.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return &CallError{Address: c.address, Kind: ErrTimeout, Cause: ctx.Err()}
	case <-call.Done:
	}
	if err := call.Error; err != nil {
		return &CallError{Address: c.address, Kind: errorKind(err), Cause: err}
	}
	reflect.ValueOf(reply).Elem().Set(result.Elem())

	return nil
}

// errorKind returns the kind of CallError for an error of net/rpc.
func errorKind(err error) error {
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
