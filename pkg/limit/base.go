package limit

import "time"

const (
	// maxBaselineKinds bounds the memory; all baselines are dropped when it is reached.
	maxBaselineKinds = 256
	// minBaselineSamples is the number of samples of a kind below which a window does not change its baseline.
	minBaselineSamples = 3
	// Weights of one window in the baseline of a kind. A node with free slots measures the latency without contention; on a
	// saturated node contention may have raised it, so an increase hardly counts there.
	gainUnsaturated   = 0.3
	gainSaturatedDown = 0.1
	gainSaturatedUp   = 0.002
)

// baseline is the latency of a kind without contention, and the sum of the samples of the current window.
type baseline struct {
	latency     time.Duration
	windowSum   time.Duration
	windowCount int
}

// baselines holds the baseline of each kind.
type baselines map[string]*baseline

// add adds the latency of one execution and returns the baseline to compare it with.
func (b baselines) add(kind string, latency time.Duration) time.Duration {
	entry, found := b[kind]
	if !found {
		if len(b) >= maxBaselineKinds {
			clear(b)
		}
		entry = &baseline{latency: latency}
		b[kind] = entry
	}
	entry.windowSum += latency
	entry.windowCount++

	return entry.latency
}

// closeWindow ends the current window and, if learning is set, updates the baselines from it.
func (b baselines) closeWindow(saturated, learning bool) {
	for _, entry := range b {
		if learning && entry.windowCount >= minBaselineSamples {
			entry.learn(saturated)
		}
		entry.windowSum, entry.windowCount = 0, 0
	}
}

// learn moves the baseline towards the mean latency of the window.
func (b *baseline) learn(saturated bool) {
	mean := b.windowSum / time.Duration(b.windowCount)
	gain := gainUnsaturated
	switch {
	case saturated && mean > b.latency:
		gain = gainSaturatedUp
	case saturated:
		gain = gainSaturatedDown
	}
	b.latency += time.Duration(gain * float64(mean-b.latency))
}

// scale multiplies the baselines of all kinds by the factor.
func (b baselines) scale(factor float64) {
	for _, entry := range b {
		entry.latency = time.Duration(float64(entry.latency) * factor)
	}
}
