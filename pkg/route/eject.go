package route

import "time"

const (
	ejectSamples = 20
	ejectFailure = 0.5
)

// eject takes a target out on own evidence, never more of them than the share allows and never the last.
func (t *Table) eject(now time.Time, bad *target) bool {
	if bad.ejected(now) || !t.faulty(now, bad) || !t.mayEject(now) {
		return false
	}
	span := t.settings.EjectFor << min(bad.ejections, 10)
	span = min(span, ejectLongest)
	bad.ejections++
	bad.ejectedUntil = now.Add(span)
	bad.warmFrom = bad.ejectedUntil
	bad.consecutive = max(t.settings.EjectAfter-1, 0)

	return true
}

// faulty reports whether the target fails, and much more so than the others.
func (t *Table) faulty(now time.Time, bad *target) bool {
	failure := bad.fail(now)
	often := bad.samples >= ejectSamples && failure > ejectFailure
	if bad.consecutive < t.settings.EjectAfter && !often {
		return false
	}

	return failure > outlier*t.others(now, bad)
}

// others returns the mean failure of the targets that serve beside it.
func (t *Table) others(now time.Time, bad *target) float64 {
	sum, count := 0.0, 0
	for _, known := range t.targets {
		if known == bad || known.ejected(now) {
			continue
		}
		sum += known.fail(now)
		count++
	}
	if count == 0 {
		return 1
	}

	return sum / float64(count)
}

func (t *Table) mayEject(now time.Time) bool {
	ejected := 0
	for _, known := range t.targets {
		if known.ejected(now) {
			ejected++
		}
	}
	allowed := int(t.settings.EjectShare * float64(len(t.targets)))

	return ejected < min(allowed, len(t.targets)-1)
}

// Ejected returns the names of the targets that are out.
func (t *Table) Ejected(now time.Time) []string {
	var names []string
	for _, known := range t.targets {
		if known.ejected(now) {
			names = append(names, known.entry.ID)
		}
	}

	return names
}
