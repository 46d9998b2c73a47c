package shed

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Demand is a request that asks to enter at its first hop.
type Demand struct {
	// Priority is 0 for the most important requests.
	Priority int
	// Draw is a uniform random number in [0, 1) that orders the requests of one priority.
	Draw float64
	// Calls are those that the request's call tree makes to each service, its own among them.
	Calls map[string]float64
}

// Decision says whether a request enters, and which service binds.
type Decision struct {
	Admitted bool
	Reason   call.Reason
	Service  string
	Level    float64
	Rank     float64
}

// Decide admits a request if its rank lies below the level of every service that it calls.
func (b *Board) Decide(now time.Time, offers *Offers, demand Demand) Decision {
	decision := Decision{Admitted: true, Reason: call.ReasonOK, Level: 1}
	margin := 2.0
	for service := range demand.Calls {
		level := b.Level(now, service)
		rank := offers.Rank(service, demand.Priority, demand.Draw)
		if level-rank < margin {
			margin = level - rank
			decision.Service, decision.Level, decision.Rank = service, level, rank
		}
	}
	if decision.Level < 1 && decision.Rank >= decision.Level {
		decision.Admitted = false
		decision.Reason = call.ReasonOverload
	}

	return decision
}
