package demand

import (
	"math"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/fanout"
)

const (
	// levelStep is the least change of a level that is worth being kept.
	levelStep = 0.15
	// levelMemory is how long after it was kept a level is of use; a surge lasts seconds to minutes.
	levelMemory = time.Minute
)

// Snapshot is what a node must know to admit call trees well right after a restart.
type Snapshot struct {
	// Levels are the admission levels by service.
	Levels map[string]float64 `json:"levels,omitempty"`
	// Origins and Needs say of routes where their requests come from, and what one of them needs below it.
	Origins map[string]fanout.Origin `json:"origins,omitempty"`
	Needs   map[string][]fanout.Need `json:"needs,omitempty"`
}

// SimilarTo reports whether another memory has much the same consequences.
func (m Snapshot) SimilarTo(other Snapshot) bool {
	if len(m.Levels) != len(other.Levels) || len(m.Origins) != len(other.Origins) || len(m.Needs) != len(other.Needs) {
		return false
	}
	for service, level := range m.Levels {
		known, found := other.Levels[service]
		if !found || math.Abs(level-known) >= levelStep {
			return false
		}
	}
	for route, origin := range m.Origins {
		if other.Origins[route] != origin {
			return false
		}
	}

	return true
}

// Snapshot returns what the node knows now.
func (d *Demand) Snapshot(now time.Time) Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	memory := Snapshot{Levels: map[string]float64{}, Origins: map[string]fanout.Origin{}, Needs: d.trees.All()}
	for _, level := range d.beliefs.All(now) {
		memory.Levels[level.Service] = level.Value
	}
	memory.Levels[d.service] = d.own.Integral()
	for route, origin := range d.origins {
		memory.Origins[route] = origin
	}

	return memory
}

// Restore takes in what the node knew at an earlier time, where it has not learned otherwise since.
func (d *Demand) Restore(now time.Time, memory Snapshot, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for route, needs := range memory.Needs {
		if !d.trees.Has(route) {
			d.trees.Set(route, needs)
			d.told[route] = now
		}
	}
	for route, origin := range memory.Origins {
		if _, known := d.origins[route]; !known {
			d.origins[route] = origin
		}
	}
	if now.Sub(at) > levelMemory {
		return
	}
	for service, level := range memory.Levels {
		d.resumeLevel(now, service, level)
	}
}

// resumeLevel begins with a level from before the restart; the caller holds the lock.
func (d *Demand) resumeLevel(now time.Time, service string, level float64) {
	if service == d.service {
		d.own.Resume(level)
	}
	if _, known := d.board.Lookup(now, service); !known {
		d.board.Observe(now, service, level)
	}
	if _, known := d.beliefs.Lookup(now, service); !known {
		d.beliefs.Observe(now, service, level)
	}
}
