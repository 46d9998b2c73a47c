package shed

import (
	"math"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Request is a request that asks for admission at its entry node, the first node that it passes.
type Request struct {
	// Priority is 0 for the most important requests and LowestPriority for the least important ones.
	Priority       int
	LowestPriority int
	// Random is drawn uniformly from [0, 1) and orders the requests of one priority.
	Random float64
	// Needs lists the services that the request's call tree reaches, the requested service included. The call tree is the request
	// with all calls that it causes.
	Needs []Need
}

// Need is a service that a request's call tree reaches.
type Need struct {
	Service string
	// Weight is the number of calls to the service relative to the call tree with the most calls to it, from 0 to 1; 1 if unknown.
	Weight float64
}

// leastImportantShare is the share of the range of ranks that belongs to the least important requests. It is large so that a short
// drop of the level rarely affects more important requests.
const leastImportantShare = 0.5

// lightWeight is the weight up to which refusing a request frees hardly any capacity.
const lightWeight = 0.25

// Rank returns the position of the request in the order of importance, from 0 for the most important to 1.
//
// Refusing a request with few calls frees little capacity. Up to lightWeight its rank is that of the next more important priority, which
// it never precedes; above that it approaches its own with its weight. The least important requests are ranked by priority alone, whatever their weight:
// they are the majority, and errors in their weights would keep the level from controlling the load.
func (r Request) Rank(weight float64) float64 {
	own := r.priorityRank(r.Priority)
	if r.Priority <= 0 || r.Priority >= r.LowestPriority {
		return own
	}
	moreImportant := r.priorityRank(r.Priority - 1)

	return moreImportant + max(weight-lightWeight, 0)/(1-lightWeight)*(own-moreImportant)
}

// priorityRank returns the rank of a request of the priority without regard to its weight.
func (r Request) priorityRank(priority int) float64 {
	if priority >= r.LowestPriority {
		return 1 - leastImportantShare*(1-r.Random)
	}

	return (1 - leastImportantShare) * (float64(priority) + r.Random) / float64(r.LowestPriority)
}

// Decision is the result of admission control for one request. Service is the one with the least spare capacity, empty if all services
// admit everything; Level and Rank are the values that were compared for it, and Weight is that of the request's need for it.
type Decision struct {
	Admitted bool
	Reason   call.Reason
	Service  string
	Level    float64
	Rank     float64
	Weight   float64
	// Unknown is true if it is not known what the request's call tree needs, so that it counts as needing all services.
	Unknown bool
	// Explores is true if the request is admitted in spite of the overload, to learn what its call tree needs.
	Explores bool
}

// Decide admits a request if its rank is below the admission level of every service that it needs.
func (t *LevelTable) Decide(now time.Time, request Request) Decision {
	decision := Decision{Admitted: true, Reason: call.ReasonOK, Level: 1, Rank: request.Rank(1)}
	minMargin := math.Inf(1)
	for _, need := range request.Needs {
		level, rank := t.Level(now, need.Service), request.Rank(need.Weight)
		if level >= 1 || level-rank >= minMargin {
			continue
		}
		minMargin = level - rank
		decision.Level, decision.Rank, decision.Service, decision.Weight = level, rank, need.Service, need.Weight
	}
	if minMargin <= 0 {
		decision.Admitted = false
		decision.Reason = call.ReasonOverload
	}

	return decision
}
