package shed

import "time"

const (
	// backShare is the part of its remaining time that a client may be told to wait.
	backShare = 1.0 / 3
	// backFirst and backLast are the parts of the time to spare within which refused clients are told to come back.
	backFirst = 0.25
	backLast  = 0.75
)

// RetryAfter is a refused client that may come back.
type RetryAfter struct {
	// Remaining is how long the client still waits, Elapsed how long it has waited here.
	Remaining time.Duration
	Elapsed   time.Duration
	// LatencyGoal is within what time the route's answers are wanted, Usual how long they take; zero for unknown.
	LatencyGoal  time.Duration
	UsualLatency time.Duration
	// Random is a uniform random number in [0, 1) that spreads clients that are refused together.
	Random float64
}

// Delay returns when to come back: spread over the time in which an answer still meets the route's aim, or over what the client
// may be told to wait if that is too short.
func (r RetryAfter) Delay() time.Duration {
	most := max(time.Duration(backShare*float64(r.Remaining)), 0)
	spare := r.LatencyGoal - r.UsualLatency - r.Elapsed
	if spare <= 0 || spare > most {
		spare = most
	}

	return time.Duration((backFirst + (backLast-backFirst)*r.Random) * float64(spare))
}
