package credit

import "time"

const (
	// needWindow is the length of a window of observations.
	needWindow = 2 * time.Minute
	// needMargin is applied twice: an estimate is the observed maximum times needMargin, plus needMargin.
	needMargin = 2
)

// NeedEstimator estimates how many attempts a call of one kind causes, from the maximum of the current and the previous window.
// It is not safe for concurrent use.
type NeedEstimator struct {
	observed    bool
	currentMax  int
	previousMax int
	windowStart time.Time
}

// Observe records how many attempts a finished call caused. If starved is set, the call ran out of credits; the number is then
// too low and the estimate is reset.
func (n *NeedEstimator) Observe(now time.Time, spent int, starved bool) {
	n.roll(now)
	if starved {
		n.observed = false
		n.currentMax, n.previousMax = 0, 0

		return
	}
	n.observed = true
	n.currentMax = max(n.currentMax, spent)
}

// Estimate returns the need of the next call, UnknownNeed without recent observations.
func (n *NeedEstimator) Estimate(now time.Time) int {
	n.roll(now)
	if !n.observed {
		return UnknownNeed
	}

	return max(n.currentMax, n.previousMax)*needMargin + needMargin
}

// roll starts a new window if the current one is over, and forgets all observations after a whole window without calls.
func (n *NeedEstimator) roll(now time.Time) {
	if n.windowStart.IsZero() {
		n.windowStart = now
	}
	elapsed := now.Sub(n.windowStart)
	if elapsed < needWindow {
		return
	}
	if elapsed >= 2*needWindow {
		n.observed, n.currentMax = false, 0
	}
	n.previousMax, n.currentMax = n.currentMax, 0
	n.windowStart = now
}
