package shed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// levelMemory is the time constant with which reports of one service replace each other.
	levelMemory = 80 * time.Millisecond
	// levelAge is how long a level holds without a report, before it opens again.
	levelAge = 2 * time.Second
	// openRate is how fast a level without reports opens, per second.
	openRate = 0.5
)

// Level is the admission level of a service as one node believes it.
type Level struct {
	Service string
	Value   float64
}

// LevelTable holds the levels of the services that a node has heard of; its owner serialises calls.
type LevelTable struct {
	levels map[string]*report
}

type report struct {
	value float64
	at    time.Time
}

// NewLevelTable returns an empty board, on which every service admits everything.
func NewLevelTable() *LevelTable {
	return &LevelTable{levels: map[string]*report{}}
}

// Observe takes a report about a service, its own or one passed on.
func (b *LevelTable) Observe(now time.Time, service string, level float64) {
	known := b.levels[service]
	if known == nil {
		b.levels[service] = &report{value: level, at: now}

		return
	}
	passed := now.Sub(known.at)
	if passed < 0 {
		passed = 0
	}
	// a report counts for at least a little, so that many at one moment are averaged
	share := max(follow(passed, levelMemory), reportShare)
	known.value += share * (level - known.value)
	known.at = now
}

// reportShare is the least weight of a new report.
const reportShare = 0.05

// Level returns the level of a service, 1 if nothing is known of it.
func (b *LevelTable) Level(now time.Time, service string) float64 {
	known := b.levels[service]
	if known == nil {
		return 1
	}
	age := now.Sub(known.at)
	if age <= levelAge {
		return known.value
	}

	return min(known.value+openRate*(age-levelAge).Seconds(), 1)
}

// Lookup returns the level of a service, and whether there was a report of it.
func (b *LevelTable) Lookup(now time.Time, service string) (Level, bool) {
	_, known := b.levels[service]

	return Level{Service: service, Value: b.Level(now, service)}, known
}

// All returns the levels of all services of which there were reports.
func (b *LevelTable) All(now time.Time) []Level {
	found := make([]Level, 0, len(b.levels))
	for service := range b.levels {
		found = append(found, Level{Service: service, Value: b.Level(now, service)})
	}

	return found
}

// MostLoaded returns the levels of the services that do not admit everything, the lowest first and no more than the number given.
func (b *LevelTable) MostLoaded(now time.Time, most int) []Level {
	var found []Level
	for service, known := range b.levels {
		if known.value < 1 && now.Sub(known.at) <= levelAge {
			found = append(found, Level{Service: service, Value: known.value})
		}
	}
	slices.SortFunc(found, func(a, c Level) int {
		return cmp.Or(cmp.Compare(a.Value, c.Value), cmp.Compare(a.Service, c.Service))
	})

	return found[:min(len(found), most)]
}

// Services returns the services of which there were reports.
func (b *LevelTable) Services() []string {
	return slices.Collect(maps.Keys(b.levels))
}
