package store

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxFailures is the number of consecutive failures that opens the circuit breaker.
	maxFailures = 3
	minBackoff  = 500 * time.Millisecond
	maxBackoff  = 8 * time.Second
)

// circuitBreaker fails requests at once while the platform is unavailable. After each backoff it lets one request through as a
// probe. It is safe for concurrent use.
type circuitBreaker struct {
	mu           sync.Mutex
	failures     int
	backoff      time.Duration
	retryAt      time.Time
	failingSince time.Time
}

// allow reports whether a request may be sent now. While the circuit breaker is open, that is one request per backoff.
func (c *circuitBreaker) allow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures < maxFailures {
		return true
	}
	if now.Before(c.retryAt) {
		return false
	}
	c.retryAt = now.Add(c.backoff)

	return true
}

// recordSuccess closes the circuit breaker.
func (c *circuitBreaker) recordSuccess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures, c.backoff, c.failingSince = 0, 0, time.Time{}
}

// recordFailure counts a failure. From maxFailures on, each failure doubles the backoff, half of which is jitter.
func (c *circuitBreaker) recordFailure(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
	if c.failures < maxFailures {
		return
	}
	c.backoff = min(max(minBackoff, c.backoff*2), maxBackoff)
	jitter := time.Duration(rand.Int64N(int64(c.backoff) / 2))
	c.retryAt = now.Add(c.backoff/2 + jitter)
}

// openSince returns when the first of the current failures occurred, the zero time while the circuit breaker is closed.
func (c *circuitBreaker) openSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures < maxFailures {
		return time.Time{}
	}

	return c.failingSince
}
