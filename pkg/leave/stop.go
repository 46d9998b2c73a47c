package leave

import "time"

// Limits bound the time between the start of a stop and the refusal of calls.
type Limits struct {
	// Earliest is the time that all nodes wait for entry nodes, and Latest the time that a node waits at most for others to serve.
	Earliest time.Duration
	Latest   time.Duration
}

const (
	// usualDelay is the time for which entry nodes may go on sending calls, at most usualShare of the grace period.
	usualDelay = 1500 * time.Millisecond
	usualShare = 0.25
	// lastShare is the share of the grace period after which the last node of a service has refused calls and become idle.
	lastShare = 0.5
)

// NewLimits returns the limits for a grace period, of which the node waits for idleTime without a request afterwards.
func NewLimits(grace, idleTime time.Duration) Limits {
	earliest := min(usualDelay, time.Duration(usualShare*float64(grace)))

	return Limits{Earliest: earliest, Latest: max(earliest, time.Duration(lastShare*float64(grace))-idleTime)}
}

// Stop is a stop in progress, as the nodes of a service know it of each other.
type Stop struct {
	Node    string
	BeganAt time.Time
}

// before reports whether this stop goes before the other. All nodes order stops alike, whatever their clocks say.
func (s Stop) before(other Stop) bool {
	if !s.BeganAt.Equal(other.BeganAt) {
		return s.BeganAt.Before(other.BeganAt)
	}

	return s.Node < other.Node
}

// Due reports whether a node refuses further calls from now on, given the time since its stop began, the number of other nodes of its
// service that serve and are not being stopped, and the stops of those that still accept calls.
//
// The load that it answers is that of a service with few nodes while the whole fleet is restarted: a node goes once another one stays or
// goes after it.
func (l Limits) Due(elapsed time.Duration, own Stop, staying int, stopping []Stop) bool {
	switch {
	case elapsed < l.Earliest:
		return false
	case elapsed >= l.Latest || staying > 0:
		return true
	}
	for _, other := range stopping {
		if own.before(other) {
			return true
		}
	}

	return false
}
