package call

import "time"

const (
	thresholdHold = 250 * time.Millisecond
	thresholdFade = time.Second
)

// DecayingThreshold is a threshold that is forgotten step by step without news.
type DecayingThreshold struct {
	since time.Time
	rank  Rank
}

// NewDecayingThreshold returns a threshold that holds from now on.
func NewDecayingThreshold(now time.Time, threshold Rank) DecayingThreshold {
	return DecayingThreshold{since: now, rank: threshold}
}

// Rank returns the lowest rank that is worth sending at that time.
func (f DecayingThreshold) Rank(now time.Time) Rank {
	age := now.Sub(f.since) - thresholdHold
	switch {
	case f.rank == 0 || age >= thresholdFade:
		return 0
	case age <= 0:
		return f.rank
	}

	return Rank(float64(f.rank) * (1 - float64(age)/float64(thresholdFade)))
}
