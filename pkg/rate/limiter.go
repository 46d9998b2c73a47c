package rate

import (
	"math"
	"time"
)

const (
	// burstTime is the time whose calls may start at once after a pause.
	burstTime = 250 * time.Millisecond
	// minCallsPerSecond is the rate of calls to a server whose limit is lower. Only a response of the server can tell that its limit has
	// risen.
	minCallsPerSecond = 0.25
	// averagingTime is the time constant of the average rate of calls, or the time between two calls at the limit if that is longer.
	averagingTime = time.Second
)

// Limiter decides when the next call to a server may start under its limit (token bucket), and measures the calls that want to. It
// answers a load above the limit, whatever part of it is refused elsewhere. It is not safe for concurrent use.
type Limiter struct {
	limit Limit
	// tokens is the number of calls that may start at refilledAt.
	tokens     float64
	refilledAt time.Time
	// wanted is the number of calls that wanted to start, decayed with the averaging time until wantedAt.
	wanted   float64
	wantedAt time.Time
}

// NewLimiter returns a limiter without a limit.
func NewLimiter() *Limiter {
	return &Limiter{}
}

// Limit returns the limit in force.
func (l *Limiter) Limit() Limit {
	return l.limit
}

// SetLimit replaces the limit. A server that had none gets no burst, and counts as fully used from then on if it was used more.
func (l *Limiter) SetLimit(now time.Time, limit Limit) {
	if limit == l.limit {
		return
	}
	l.refill(now)
	if !l.limit.Stated() {
		l.tokens = 0
	}
	l.decay(now)
	l.limit = limit
	l.tokens = min(l.tokens, l.burst())
	l.wanted = min(l.wanted, l.rate()*l.averagingTime().Seconds())
}

// Want counts a call that wants to start.
func (l *Limiter) Want(now time.Time) {
	l.decay(now)
	l.wanted++
}

// Take starts a call if the limit allows it now, and reports whether it does.
func (l *Limiter) Take(now time.Time) bool {
	if !l.limit.Stated() {
		return true
	}
	l.refill(now)
	if l.tokens < 1 {
		return false
	}
	l.tokens--

	return true
}

// Wait returns the time until the limit allows the next call, zero if it does now.
func (l *Limiter) Wait(now time.Time) time.Duration {
	if !l.limit.Stated() {
		return 0
	}
	l.refill(now)
	if l.tokens >= 1 {
		return 0
	}

	return time.Duration(math.Ceil((1 - l.tokens) / l.rate() * float64(time.Second)))
}

// Allowed returns the number of calls that the limit allows in the time, at least 1.
func (l *Limiter) Allowed(span time.Duration) float64 {
	return max(l.rate()*span.Seconds(), 1)
}

// Utilisation returns the average rate of the calls that want to start as a multiple of the limit, zero without a limit.
func (l *Limiter) Utilisation(now time.Time) float64 {
	if !l.limit.Stated() {
		return 0
	}
	l.decay(now)

	return l.wanted / (l.rate() * l.averagingTime().Seconds())
}

// rate returns the calls per second that may start, infinite without a limit.
func (l *Limiter) rate() float64 {
	if !l.limit.Stated() {
		return math.Inf(1)
	}

	return max(l.limit.CallsPerSecond(), minCallsPerSecond)
}

// burst returns the largest number of tokens.
func (l *Limiter) burst() float64 {
	return max(l.rate()*burstTime.Seconds(), 1)
}

func (l *Limiter) averagingTime() time.Duration {
	return max(averagingTime, time.Duration(float64(time.Second)/l.rate()))
}

func (l *Limiter) refill(now time.Time) {
	elapsed := now.Sub(l.refilledAt)
	if elapsed <= 0 {
		// callers take the time before they get to the limiter, so it may come out of order
		return
	}
	if l.limit.Stated() {
		l.tokens = min(l.tokens+elapsed.Seconds()*l.rate(), l.burst())
	}
	l.refilledAt = now
}

func (l *Limiter) decay(now time.Time) {
	if elapsed := now.Sub(l.wantedAt); elapsed > 0 {
		l.wanted *= math.Exp(-float64(elapsed) / float64(l.averagingTime()))
		l.wantedAt = now
	}
}
