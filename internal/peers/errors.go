package peers

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kinds of CallError; use errors.Is to distinguish them.
var (
	// ErrUnreachable means that no connection could be opened or became available in time, so that nothing was sent.
	ErrUnreachable = errors.New("peer is unreachable")
	// ErrTimeout means that no response arrived in time. The peer may have run the call.
	ErrTimeout = errors.New("peer did not respond in time")
	// ErrConnectionLost means that the connection ended before the response arrived. The peer may have run the call.
	ErrConnectionLost = errors.New("connection to peer lost")
	// ErrRemote means that the method returned an error at the peer.
	ErrRemote = errors.New("peer returned an error")
	// ErrStopped means that this node's service has stopped, so that nothing was sent.
	ErrStopped = errors.New("control service is stopped")

	// errNotSent means that the pooled connection had closed before the call was written to it.
	errNotSent = errors.New("pooled connection closed before the call was sent")
)

// CallError is the error that Call returns. errors.Is matches both its kind and its cause.
type CallError struct {
	Address string
	Kind    error
	Cause   error
}

// Error returns the peer's address, the kind and the cause.
func (e *CallError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("call to %s: %v", e.Address, e.Kind)
	}

	return fmt.Sprintf("call to %s: %v: %v", e.Address, e.Kind, e.Cause)
}

// Unwrap returns the kind and the cause.
func (e *CallError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}

	return []error{e.Kind, e.Cause}
}
