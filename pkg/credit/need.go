package credit

import "time"

const (
	needMemory = 2 * time.Minute
	needMargin = 2
)

// NeedEstimator estimates what calls of one kind spend below themselves; its owner serialises the calls.
type NeedEstimator struct {
	known   bool
	current int
	last    int
	turned  time.Time
}

// Observe records what one answered call spent below itself; starved means that it ran out of credits.
func (n *NeedEstimator) Observe(now time.Time, spent int, starved bool) {
	n.turn(now)
	if starved {
		n.known = false
		n.current, n.last = 0, 0

		return
	}
	n.known = true
	n.current = max(n.current, spent)
}

// Estimate returns the need for the next call, UnknownNeed until one was observed lately.
func (n *NeedEstimator) Estimate(now time.Time) int {
	n.turn(now)
	if !n.known {
		return UnknownNeed
	}

	return max(n.current, n.last)*needMargin + needMargin
}

// turn keeps the maximum of the current and the last window, and forgets both after an idle window.
func (n *NeedEstimator) turn(now time.Time) {
	if n.turned.IsZero() {
		n.turned = now
	}
	elapsed := now.Sub(n.turned)
	if elapsed < needMemory {
		return
	}
	if elapsed >= 2*needMemory {
		n.known, n.current = false, 0
	}
	n.last, n.current = n.current, 0
	n.turned = now
}
