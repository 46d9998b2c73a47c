package leave

import "time"

// End says which requests a node that is being stopped still takes. The zero value allows all.
type End struct {
	// from is when the node begins to refuse requests that may last beyond until, at which it stops waiting for them.
	from, until time.Time
}

// NewEnd returns the end of a node that refuses requests from a time on if they may last beyond another one.
func NewEnd(from, until time.Time) End {
	return End{from: from, until: until}
}

// Excludes reports whether a request that begins now must be refused, as its deadline is later than the end of the node.
func (e End) Excludes(now, deadline time.Time) bool {
	return !e.until.IsZero() && now.After(e.from) && deadline.After(e.until)
}
