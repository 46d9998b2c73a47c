package shed

import (
	"math"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Request is a request that asks to enter at its first hop.
type Request struct {
	// Priority is 0 for the most important requests, Lowest the largest number in use.
	Priority       int
	LowestPriority int
	// Random is a uniform random number in [0, 1) that orders the requests of one priority.
	Random float64
	// Needs are the services that the request's calls reach, its own among them.
	Needs []Need
}

// Need is a service that a request's calls reach.
type Need struct {
	Service string
	// Weight is the number of calls as a part of those of the heaviest call tree, 1 for unknown.
	Weight float64
}

// lowestShare is the part of all ranks that the least important requests have, so that a dip of the level hardly ever reaches
// the more important ones.
const lowestShare = 0.5

// Rank returns the place of the request among all demand for a service, from 0 for the most important up to 1.
//
// Refusing a request of few calls frees little room, so the lighter it is, the nearer its rank is to those of the next more important
// requests; it is never ahead of them. The least important requests make room first, whatever they need: a wrong weight of the many
// would keep the level from steering them.
func (d Request) Rank(weight float64) float64 {
	own := d.rankOf(d.Priority)
	if d.Priority <= 0 || d.Priority >= d.LowestPriority {
		return own
	}
	above := d.rankOf(d.Priority - 1)

	return above + weight*(own-above)
}

// rankOf returns the rank that a request of the priority has by that alone.
func (d Request) rankOf(priority int) float64 {
	if priority >= d.LowestPriority {
		return 1 - lowestShare*(1-d.Random)
	}

	return (1 - lowestShare) * (float64(priority) + d.Random) / float64(d.LowestPriority)
}

// Decision says whether a request enters, and which service binds.
type Decision struct {
	Admitted bool
	Reason   call.Reason
	Service  string
	Level    float64
	Rank     float64
	// Explores says that the request is admitted without room, to learn what its call tree needs.
	Explores bool
}

// Decide admits a request whose rank is below the level of every service that it needs; the decision names the one with least room.
func (b *LevelTable) Decide(now time.Time, demand Request) Decision {
	decision := Decision{Admitted: true, Reason: call.ReasonOK, Level: 1, Rank: demand.Rank(1)}
	least := math.Inf(1)
	for _, need := range demand.Needs {
		level, rank := b.Level(now, need.Service), demand.Rank(need.Weight)
		if level >= 1 || level-rank >= least {
			continue
		}
		least = level - rank
		decision.Level, decision.Rank, decision.Service = level, rank, need.Service
	}
	if least <= 0 {
		decision.Admitted = false
		decision.Reason = call.ReasonOverload
	}

	return decision
}
