package shed

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Demand is a request that asks to enter at its first hop.
type Demand struct {
	// Priority is 0 for the most important requests, Lowest the largest number in use.
	Priority int
	Lowest   int
	// Draw is a uniform random number in [0, 1) that orders the requests of one priority.
	Draw float64
	// Services are those that the request's calls reach, its own among them.
	Services []string
}

// lowestShare is the part of all ranks that the least important requests have, so that a dip of the level hardly ever reaches
// the more important ones.
const lowestShare = 0.5

// Rank returns the place of the request among all demand, from 0 for the most important up to 1.
func (d Demand) Rank() float64 {
	if d.Priority >= d.Lowest {
		return 1 - lowestShare*(1-d.Draw)
	}

	return (1 - lowestShare) * (float64(d.Priority) + d.Draw) / float64(d.Lowest)
}

// Decision says whether a request enters, and which service binds.
type Decision struct {
	Admitted bool
	Reason   call.Reason
	Service  string
	Level    float64
	Rank     float64
}

// Decide admits a request whose rank is below the level of every service that it needs.
func (b *Board) Decide(now time.Time, demand Demand) Decision {
	decision := Decision{Admitted: true, Reason: call.ReasonOK, Level: 1, Rank: demand.Rank()}
	for _, service := range demand.Services {
		if level := b.Level(now, service); level < decision.Level {
			decision.Level = level
			decision.Service = service
		}
	}
	if decision.Rank >= decision.Level && decision.Level < 1 {
		decision.Admitted = false
		decision.Reason = call.ReasonOverload
	}

	return decision
}
