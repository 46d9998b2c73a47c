package shed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// levelSmoothingTime is the time constant of the moving average over the reports on one service.
	levelSmoothingTime = 80 * time.Millisecond
	// levelTTL is how long a level stays valid without a new report; after that it rises towards 1.
	levelTTL = 2 * time.Second
	// staleRiseRate is how fast a stale level rises, per second.
	staleRiseRate = 0.5
)

// Level is the admission level of a service as estimated by one node: the share of its demand, in the order of importance, that is
// admitted.
type Level struct {
	Service string
	Value   float64
}

// LevelTable holds the admission levels that were reported for services. It is not safe for concurrent use.
type LevelTable struct {
	levels map[string]*report
}

type report struct {
	value float64
	at    time.Time
}

// NewLevelTable returns an empty table, in which the level of every service is 1.
func NewLevelTable() *LevelTable {
	return &LevelTable{levels: map[string]*report{}}
}

// Observe adds a report on the level of a service. It may come from the service itself or be passed on by another node.
func (t *LevelTable) Observe(now time.Time, service string, level float64) {
	last := t.levels[service]
	if last == nil {
		t.levels[service] = &report{value: level, at: now}

		return
	}
	elapsed := now.Sub(last.at)
	if elapsed < 0 {
		elapsed = 0
	}
	// the weight has a lower bound so that reports that arrive at the same time are averaged
	weight := max(smoothingWeight(elapsed, levelSmoothingTime), minReportWeight)
	last.value += weight * (level - last.value)
	last.at = now
}

// minReportWeight is the lower bound of the weight of a new report in the moving average.
const minReportWeight = 0.05

// Level returns the level of a service, 1 if there was no report on it.
func (t *LevelTable) Level(now time.Time, service string) float64 {
	last := t.levels[service]
	if last == nil {
		return 1
	}
	age := now.Sub(last.at)
	if age <= levelTTL {
		return last.value
	}

	return min(last.value+staleRiseRate*(age-levelTTL).Seconds(), 1)
}

// Lookup returns the level of a service and whether there was a report on it.
func (t *LevelTable) Lookup(now time.Time, service string) (Level, bool) {
	_, found := t.levels[service]

	return Level{Service: service, Value: t.Level(now, service)}, found
}

// All returns the levels of all services with reports, in no particular order.
func (t *LevelTable) All(now time.Time) []Level {
	levels := make([]Level, 0, len(t.levels))
	for service := range t.levels {
		levels = append(levels, Level{Service: service, Value: t.Level(now, service)})
	}

	return levels
}

// MostLoaded returns up to maxLevels of the recently reported levels below 1, the lowest first.
func (t *LevelTable) MostLoaded(now time.Time, maxLevels int) []Level {
	var levels []Level
	for service, last := range t.levels {
		if last.value < 1 && now.Sub(last.at) <= levelTTL {
			levels = append(levels, Level{Service: service, Value: last.value})
		}
	}
	slices.SortFunc(levels, func(a, c Level) int {
		return cmp.Or(cmp.Compare(a.Value, c.Value), cmp.Compare(a.Service, c.Service))
	})

	return levels[:min(len(levels), maxLevels)]
}

// Services returns the services with reports, in no particular order.
func (t *LevelTable) Services() []string {
	return slices.Collect(maps.Keys(t.levels))
}
