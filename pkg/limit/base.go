package limit

import "time"

const (
	baseKinds   = 256
	baseSamples = 3
	// Gains of the base of a kind in one window: a node with free slots shows it, a full one may have raised it.
	gainFree     = 0.3
	gainFullDown = 0.1
	gainFullUp   = 0.002
)

// base is the latency of a kind without contention, and what the present window adds to it.
type base struct {
	latency time.Duration
	sum     time.Duration
	count   int
}

// bases holds the base of each kind.
type bases map[string]*base

// add takes the latency of one execution and returns what it is compared with.
func (b bases) add(kind string, latency time.Duration) time.Duration {
	known, found := b[kind]
	if !found {
		if len(b) >= baseKinds {
			clear(b)
		}
		known = &base{latency: latency}
		b[kind] = known
	}
	known.sum += latency
	known.count++

	return known.latency
}

// roll closes the window and learns from it, unless a trial goes on.
func (b bases) roll(full, learns bool) {
	for _, known := range b {
		if learns && known.count >= baseSamples {
			known.learn(full)
		}
		known.sum, known.count = 0, 0
	}
}

func (b *base) learn(full bool) {
	mean := b.sum / time.Duration(b.count)
	gain := gainFree
	switch {
	case full && mean > b.latency:
		gain = gainFullUp
	case full:
		gain = gainFullDown
	}
	b.latency += time.Duration(gain * float64(mean-b.latency))
}

// scale takes a latency that has lasted for the new base of all kinds.
func (b bases) scale(factor float64) {
	for _, known := range b {
		known.latency = time.Duration(float64(known.latency) * factor)
	}
}
