package route

import "time"

const (
	// A target with minEjectSamples attempts or more is a candidate for ejection above minEjectFailureRate.
	minEjectSamples     = 20
	minEjectFailureRate = 0.5
)

// eject ejects the candidate if it is an outlier, and reports whether it did. The ejection time doubles with each ejection up to
// maxEjectTime. At most EjectShare of the targets are ejected at a time, and never the last one.
func (t *Table) eject(now time.Time, candidate *target) bool {
	if candidate.ejected(now) || !t.isOutlier(now, candidate) || !t.mayEject(now) {
		return false
	}
	duration := t.settings.EjectFor << min(candidate.ejections, 10)
	duration = min(duration, maxEjectTime)
	candidate.ejections++
	candidate.ejectedUntil = now.Add(duration)
	candidate.warmUpStartedAt = candidate.ejectedUntil
	// One more fault suffices for the next ejection.
	candidate.consecutive = max(t.settings.EjectAfter-1, 0)

	return true
}

// isOutlier reports whether the target fails often, and much more often than the others.
func (t *Table) isOutlier(now time.Time, candidate *target) bool {
	failureRate := candidate.failureRate(now)
	failsOften := candidate.samples >= minEjectSamples && failureRate > minEjectFailureRate
	if candidate.consecutive < t.settings.EjectAfter && !failsOften {
		return false
	}

	return failureRate > outlierFactor*t.meanFailureRateOfOthers(now, candidate)
}

// meanFailureRateOfOthers returns the mean failure rate of the other targets that are not ejected, 1 if there are none.
func (t *Table) meanFailureRateOfOthers(now time.Time, candidate *target) float64 {
	sum, count := 0.0, 0
	for _, other := range t.targets {
		if other == candidate || other.ejected(now) {
			continue
		}
		sum += other.failureRate(now)
		count++
	}
	if count == 0 {
		return 1
	}

	return sum / float64(count)
}

func (t *Table) mayEject(now time.Time) bool {
	ejected := 0
	for _, candidate := range t.targets {
		if candidate.ejected(now) {
			ejected++
		}
	}
	allowed := int(t.settings.EjectShare * float64(len(t.targets)))

	return ejected < min(allowed, len(t.targets)-1)
}

// Ejected returns the node names of the targets that are ejected at now.
func (t *Table) Ejected(now time.Time) []string {
	var names []string
	for _, candidate := range t.targets {
		if candidate.ejected(now) {
			names = append(names, candidate.entry.ID)
		}
	}

	return names
}
