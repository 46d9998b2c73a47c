package demand

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/fanout"
)

const (
	// minLevelChange is the least change of a level for which a snapshot is stored again.
	minLevelChange = 0.15
	// maxLevelAge is the age above which stored levels are not restored. Load surges last seconds to minutes.
	maxLevelAge = time.Minute
	// maxStoredCalls bounds the calls to a service per request in a stored snapshot.
	maxStoredCalls = 1e6
)

// Snapshot is the stored state with which a node admits call trees correctly right after a restart.
type Snapshot struct {
	// Levels are the integral parts of the admission levels by service.
	Levels map[string]float64 `json:"levels,omitempty"`
	// Origins and Needs hold for each route the origin of its requests and the calls that one request causes to other services.
	Origins map[string]fanout.Origin `json:"origins,omitempty"`
	Needs   map[string][]fanout.Need `json:"needs,omitempty"`
}

// Validate returns an error if a level is not between 0 and 1 or a number of calls is out of range. Such a level would refuse or admit
// all requests for hours, since it is averaged with what is reported later.
func (s Snapshot) Validate() error {
	for service, level := range s.Levels {
		if level < 0 || level > 1 {
			return errors.Newf("level %g of %q is not between 0 and 1", level, service)
		}
	}
	for route, needs := range s.Needs {
		for _, need := range needs {
			if need.Calls < 0 || need.Calls > maxStoredCalls {
				return errors.Newf("%g calls to %q by %q are not between 0 and %g", need.Calls, need.Service, route, float64(maxStoredCalls))
			}
		}
	}

	return nil
}

// SimilarTo reports whether the other snapshot is so similar that it need not be stored again.
func (s Snapshot) SimilarTo(other Snapshot) bool {
	if len(s.Levels) != len(other.Levels) || len(s.Origins) != len(other.Origins) || len(s.Needs) != len(other.Needs) {
		return false
	}
	for service, level := range s.Levels {
		otherLevel, found := other.Levels[service]
		if !found || math.Abs(level-otherLevel) >= minLevelChange {
			return false
		}
	}
	for route, origin := range s.Origins {
		if other.Origins[route] != origin {
			return false
		}
	}

	return true
}

// Snapshot returns the current state.
func (d *Demand) Snapshot(now time.Time) Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	snapshot := Snapshot{Levels: map[string]float64{}, Origins: map[string]fanout.Origin{}, Needs: d.trees.All()}
	for _, level := range d.integralLevels.All(now) {
		snapshot.Levels[level.Service] = level.Value
	}
	snapshot.Levels[d.service] = d.controller.Integral()
	for route, origin := range d.origins {
		snapshot.Origins[route] = origin
	}

	return snapshot
}

// Restore restores a snapshot taken at an earlier time, except for what has been observed since the start.
func (d *Demand) Restore(now time.Time, snapshot Snapshot, takenAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for route, needs := range snapshot.Needs {
		if !d.trees.Has(route) {
			d.trees.Set(route, needs)
			d.needsUpdatedAt[route] = now
		}
	}
	for route, origin := range snapshot.Origins {
		if _, found := d.origins[route]; !found {
			d.origins[route] = origin
		}
	}
	if now.Sub(takenAt) > maxLevelAge {
		return
	}
	for service, level := range snapshot.Levels {
		d.restoreLevel(now, service, level)
	}
}

// restoreLevel restores the level of a service; the caller holds the lock.
func (d *Demand) restoreLevel(now time.Time, service string, level float64) {
	if service == d.service {
		d.controller.Resume(level)
	}
	if _, found := d.levels.Lookup(now, service); !found {
		d.levels.Observe(now, service, level)
	}
	if _, found := d.integralLevels.Lookup(now, service); !found {
		d.integralLevels.Observe(now, service, level)
	}
}
