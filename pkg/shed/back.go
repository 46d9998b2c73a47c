package shed

import "time"

const (
	// backShare is the part of its remaining time that a client may be told to wait.
	backShare = 1.0 / 3
	// backFirst and backLast are the parts of the time to spare within which refused clients are told to come back.
	backFirst = 0.25
	backLast  = 0.75
)

// Return is a refused client that may come back.
type Return struct {
	// Left is how long the client still waits, Elapsed how long it has waited here.
	Left    time.Duration
	Elapsed time.Duration
	// Aim is within what time the route's answers are wanted, Usual how long they take; zero for unknown.
	Aim   time.Duration
	Usual time.Duration
	// Draw is a uniform random number in [0, 1) that spreads clients that are refused together.
	Draw float64
}

// After returns when to come back: spread over the time in which an answer still meets the route's aim, or over what the client
// may be told to wait if that is too short.
func (r Return) After() time.Duration {
	most := max(time.Duration(backShare*float64(r.Left)), 0)
	spare := r.Aim - r.Usual - r.Elapsed
	if spare <= 0 || spare > most {
		spare = most
	}

	return time.Duration((backFirst + (backLast-backFirst)*r.Draw) * float64(spare))
}
