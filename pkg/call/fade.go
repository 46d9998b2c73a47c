package call

import "time"

const (
	thresholdHoldTime  = 250 * time.Millisecond
	thresholdDecayTime = time.Second
)

// DecayingThreshold is a reported threshold that holds for a short time and then decays linearly to zero unless it is
// replaced by a newer report.
type DecayingThreshold struct {
	since time.Time
	rank  Rank
}

// NewDecayingThreshold returns a threshold that was reported at now.
func NewDecayingThreshold(now time.Time, threshold Rank) DecayingThreshold {
	return DecayingThreshold{since: now, rank: threshold}
}

// Rank returns the threshold in effect at now: the lowest rank that is worth sending.
func (t DecayingThreshold) Rank(now time.Time) Rank {
	age := now.Sub(t.since) - thresholdHoldTime
	switch {
	case t.rank == 0 || age >= thresholdDecayTime:
		return 0
	case age <= 0:
		return t.rank
	}

	return Rank(float64(t.rank) * (1 - float64(age)/float64(thresholdDecayTime)))
}
