package store

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	circuitAfter   = 3
	circuitFirst   = 500 * time.Millisecond
	circuitLongest = 8 * time.Second
)

// circuit keeps callers from waiting for a platform that is away: it lets one request through now and then.
type circuit struct {
	mu       sync.Mutex
	failures int
	pause    time.Duration
	retryAt  time.Time
	away     time.Time
}

// allow reports whether a request may be sent now; while away only one at a time tries.
func (c *circuit) allow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures < circuitAfter {
		return true
	}
	if now.Before(c.retryAt) {
		return false
	}
	c.retryAt = now.Add(c.pause)

	return true
}

func (c *circuit) succeeded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures, c.pause, c.away = 0, 0, time.Time{}
}

func (c *circuit) failed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	if c.away.IsZero() {
		c.away = now
	}
	if c.failures < circuitAfter {
		return
	}
	c.pause = min(max(circuitFirst, c.pause*2), circuitLongest)
	jitter := time.Duration(rand.Int64N(int64(c.pause) / 2))
	c.retryAt = now.Add(c.pause/2 + jitter)
}

// since returns when the platform was lost, the zero time while it answers.
func (c *circuit) since() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures < circuitAfter {
		return time.Time{}
	}

	return c.away
}
