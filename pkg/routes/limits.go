package routes

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Limits bound what a client may send, and how long it may take or stay idle. Zero values set no limit.
type Limits struct {
	// MaxHeader and MaxBody are the largest header and body of a request in bytes.
	MaxHeader, MaxBody int
	// HeaderTimeout bounds the time from the first byte of a header to its end.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time for which a client keeps a connection without a request.
	IdleTimeout time.Duration
}

// WithTighter returns the limits with those of the others that are lower.
func (l Limits) WithTighter(others Limits) Limits {
	l.MaxHeader = lower(l.MaxHeader, others.MaxHeader)
	l.MaxBody = lower(l.MaxBody, others.MaxBody)
	l.HeaderTimeout = lower(l.HeaderTimeout, others.HeaderTimeout)
	l.IdleTimeout = lower(l.IdleTimeout, others.IdleTimeout)

	return l
}

// Validate returns an error that wraps ErrInvalid if a limit is negative.
func (l Limits) Validate() error {
	if min(l.MaxHeader, l.MaxBody) < 0 || min(l.HeaderTimeout, l.IdleTimeout) < 0 {
		return errors.Wrapf(ErrInvalid, "negative limit in %+v", l)
	}

	return nil
}

// lower returns the lower one of two limits of which zero is none.
func lower[T int | time.Duration](limit, other T) T {
	if limit == 0 || other == 0 {
		return max(limit, other)
	}

	return min(limit, other)
}
