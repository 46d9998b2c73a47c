package peers

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kinds of CallError, to be told apart with errors.Is.
var (
	// ErrUnreachable means that no connection could be opened, so that nothing was sent.
	ErrUnreachable = errors.New("peer is unreachable")
	// ErrTimeout means that no answer came in time; the peer may have run the call.
	ErrTimeout = errors.New("peer did not answer in time")
	// ErrConnectionLost means that the connection broke before the answer; the peer may have run the call.
	ErrConnectionLost = errors.New("connection to peer broke")
	// ErrRemote means that the peer answered with an error.
	ErrRemote = errors.New("peer answered with an error")
	// ErrStopped means that the service is stopped, so that nothing was sent.
	ErrStopped = errors.New("control service is stopped")

	// errNotSent means that the pooled connection had ended before the call was written to it.
	errNotSent = errors.New("connection had ended before the call")
)

// CallError is the error of Call; it matches both its kind and its cause.
type CallError struct {
	Address string
	Kind    error
	Cause   error
}

// Error returns the peer's address, the kind and the cause in one line.
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
