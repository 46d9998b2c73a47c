package listen

import "time"

// Limits bound what a client may send, and how long it may take or stay idle.
type Limits struct {
	// MaxHeader and MaxBody are the largest header and body of a request in bytes.
	MaxHeader, MaxBody int
	// HeaderTimeout bounds the time from the first byte of a header to its end.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for the next request on a connection.
	IdleTimeout time.Duration
}

// WithTighter returns the limits with those of the others that are lower. Zero values of the others set no limit.
func (l Limits) WithTighter(others Limits) Limits {
	l.MaxHeader = tighter(l.MaxHeader, others.MaxHeader)
	l.MaxBody = tighter(l.MaxBody, others.MaxBody)
	l.HeaderTimeout = tighter(l.HeaderTimeout, others.HeaderTimeout)
	l.IdleTimeout = tighter(l.IdleTimeout, others.IdleTimeout)

	return l
}

func tighter[T int | time.Duration](limit, other T) T {
	if other <= 0 {
		return limit
	}

	return min(limit, other)
}
