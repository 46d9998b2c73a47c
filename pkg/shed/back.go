package shed

import "time"

const (
	// maxDelayShare is the share of its remaining time that a client may be told to wait.
	maxDelayShare = 1.0 / 3
	// minDelayFraction and maxDelayFraction bound the part of the retry window over which retries are spread.
	minDelayFraction = 0.25
	maxDelayFraction = 0.75
)

// RetryAfter holds what the retry delay of a refused client depends on.
type RetryAfter struct {
	// Remaining is the time until the client gives up, Elapsed the time since the request arrived.
	Remaining time.Duration
	Elapsed   time.Duration
	// LatencyTarget is the latency that the route should meet, UsualLatency the one it usually has; zero if unknown.
	LatencyTarget time.Duration
	UsualLatency  time.Duration
	// Random is drawn uniformly from [0, 1) and spreads the retries of clients that are refused at the same time.
	Random float64
}

// Delay returns how long the client should wait before it retries. Delays are spread over the window in which a retry can still meet
// the latency target. If that window is empty or longer than the maximum delay, they are spread over the maximum delay.
func (r RetryAfter) Delay() time.Duration {
	maxDelay := max(time.Duration(maxDelayShare*float64(r.Remaining)), 0)
	window := r.LatencyTarget - r.UsualLatency - r.Elapsed
	if window <= 0 || window > maxDelay {
		window = maxDelay
	}

	return time.Duration((minDelayFraction + (maxDelayFraction-minDelayFraction)*r.Random) * float64(window))
}
