package shed

import (
	"math"
	"time"
)

// offerMemory is the time constant with which demand is forgotten.
const offerMemory = 2 * time.Second

// Offers knows how the demand for each service is spread over the priorities; its owner serialises calls.
type Offers struct {
	services map[string]*offer
}

type offer struct {
	at time.Time
	// weights holds the calls demanded by priority.
	weights map[int]float64
}

// NewOffers returns a store that has seen no demand.
func NewOffers() *Offers {
	return &Offers{services: map[string]*offer{}}
}

// Note counts the calls that a request of the priority demands of a service, whether it is admitted or not.
func (o *Offers) Note(now time.Time, service string, priority int, calls float64) {
	known := o.services[service]
	if known == nil {
		known = &offer{at: now, weights: map[int]float64{}}
		o.services[service] = known
	}
	known.fade(now)
	known.weights[priority] += calls
}

// fade forgets by the time that has passed.
func (o *offer) fade(now time.Time) {
	passed := now.Sub(o.at)
	if passed <= 0 {
		return
	}
	o.at = now
	kept := math.Exp(-float64(passed) / float64(offerMemory))
	for priority := range o.weights {
		o.weights[priority] *= kept
	}
}

// Rank returns the share of a service's demand that goes before a request: all that is more important, and of its own priority
// the part given by the draw, a uniform random number in [0, 1).
func (o *Offers) Rank(service string, priority int, draw float64) float64 {
	known := o.services[service]
	if known == nil {
		return draw
	}
	before, total := 0.0, 0.0
	for other, weight := range known.weights {
		total += weight
		if other < priority {
			before += weight
		}
	}
	if total <= 0 {
		return draw
	}

	return (before + draw*known.weights[priority]) / total
}
