package quota

import "time"

// Limits are the fleet's allowance: in each window, repeats up to ratio times the requests plus the slack.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Nodes is the number of nodes that share the slack, zero if that is not known: then the node takes none of it.
	Nodes int
}

const (
	// ratioShare and slackShare leave the rest to windows that are cut differently elsewhere and to nodes that start anew.
	ratioShare = 0.7
	slackShare = 0.3
	// steps is the number of parts in which a window slides.
	steps = 10
)

// Quota is one node's part of the allowance for each service; its owner serialises calls.
type Quota struct {
	limits   Limits
	services map[string]*counts
}

// counts holds the requests and repeats of two windows in steps, the present step last.
type counts struct {
	step     int64
	requests [2 * steps]float64
	repeats  [2 * steps]float64
}

// New returns a quota that has counted nothing yet.
func New(limits Limits) *Quota {
	return &Quota{limits: limits, services: map[string]*counts{}}
}

// SetNodes takes the number of nodes that share the slack.
func (q *Quota) SetNodes(nodes int) {
	q.limits.Nodes = nodes
}

// CountRequest counts a request to the service, which earns its part of a repeat.
func (q *Quota) CountRequest(now time.Time, service string) {
	q.at(now, service).requests[2*steps-1]++
}

// Take spends what a repeat costs at each service, or nothing if one of them has too little left.
func (q *Quota) Take(now time.Time, costs map[string]float64) bool {
	for service, cost := range costs {
		if q.Remaining(now, service) < cost {
			return false
		}
	}
	for service, cost := range costs {
		q.at(now, service).repeats[2*steps-1] += cost
	}

	return true
}

// Remaining returns what is left for repeats to the service in the window that ends now.
func (q *Quota) Remaining(now time.Time, service string) float64 {
	c := q.at(now, service)
	present, before := sum(c.requests[steps:]), sum(c.requests[:steps])
	left := q.limits.Ratio*ratioShare*max(present, before) - sum(c.repeats[steps:])
	if q.limits.Nodes > 0 {
		left += q.limits.Slack * slackShare / float64(q.limits.Nodes)
	}

	return left
}

// at returns the service's counts, moved on to the present step.
func (q *Quota) at(now time.Time, service string) *counts {
	length := max(q.limits.Window/steps, 1)
	step := now.UnixNano() / int64(length)
	known := q.services[service]
	if known == nil {
		known = &counts{step: step}
		q.services[service] = known
	}
	for known.step < step {
		known.advance(step)
	}

	return known
}

// advance moves on by one step, or starts anew after a gap of both windows.
func (c *counts) advance(step int64) {
	if step-c.step >= 2*steps {
		*c = counts{step: step}

		return
	}
	c.step++
	copy(c.requests[:], c.requests[1:])
	copy(c.repeats[:], c.repeats[1:])
	c.requests[2*steps-1], c.repeats[2*steps-1] = 0, 0
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}

	return total
}
