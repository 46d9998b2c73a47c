package call

import "time"

const (
	thresholdHold = 250 * time.Millisecond
	thresholdFade = time.Second
)

// Fading is a threshold that is forgotten step by step without news.
type Fading struct {
	since time.Time
	rank  Rank
}

// NewFading returns a threshold that holds from now on.
func NewFading(now time.Time, threshold Rank) Fading {
	return Fading{since: now, rank: threshold}
}

// Rank returns the lowest rank that is worth sending at that time.
func (f Fading) Rank(now time.Time) Rank {
	age := now.Sub(f.since) - thresholdHold
	switch {
	case f.rank == 0 || age >= thresholdFade:
		return 0
	case age <= 0:
		return f.rank
	}

	return Rank(float64(f.rank) * (1 - float64(age)/float64(thresholdFade)))
}
