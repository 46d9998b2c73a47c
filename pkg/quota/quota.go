package quota

import "time"

// Limits bound the retries of the whole fleet: in each window, at most Ratio times the requests plus Slack.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Nodes is the number of nodes that share the slack. If it is zero, the number is unknown and the node uses none of the slack.
	Nodes int
}

const (
	// ratioShare and slackShare are the shares of ratio and slack that the nodes use. The rest is a reserve for windows that others
	// measure with different boundaries, and for nodes that restart without counts.
	ratioShare = 0.7
	slackShare = 0.3
	// stepsPerWindow is the number of steps in a sliding window.
	stepsPerWindow = 10
)

// Quota is one node's share of the fleet's retry budget, for each service. It is not safe for concurrent use.
type Quota struct {
	limits   Limits
	services map[string]*counts
}

// counts holds the requests and retries of the last two windows by step, the current step last.
type counts struct {
	step     int64
	requests [2 * stepsPerWindow]float64
	retries  [2 * stepsPerWindow]float64
}

// New returns a quota without counts.
func New(limits Limits) *Quota {
	return &Quota{limits: limits, services: map[string]*counts{}}
}

// SetNodes sets the number of nodes that share the slack.
func (q *Quota) SetNodes(nodes int) {
	q.limits.Nodes = nodes
}

// CountRequest counts a request to the service, which raises its retry budget by a fraction of a retry.
func (q *Quota) CountRequest(now time.Time, service string) {
	q.countsAt(now, service).requests[2*stepsPerWindow-1]++
}

// Take charges the costs of a retry, in calls per service, and reports whether it did. It charges nothing if the remaining budget of any
// of the services is too small.
func (q *Quota) Take(now time.Time, costs map[string]float64) bool {
	for service, cost := range costs {
		if q.Remaining(now, service) < cost {
			return false
		}
	}
	for service, cost := range costs {
		q.countsAt(now, service).retries[2*stepsPerWindow-1] += cost
	}

	return true
}

// Remaining returns the remaining retry budget of the service, in calls, for the window that ends now. The budget is based on the
// requests of this window or the previous one, whichever had more.
func (q *Quota) Remaining(now time.Time, service string) float64 {
	c := q.countsAt(now, service)
	current, previous := sum(c.requests[stepsPerWindow:]), sum(c.requests[:stepsPerWindow])
	remaining := q.limits.Ratio*ratioShare*max(current, previous) - sum(c.retries[stepsPerWindow:])
	if q.limits.Nodes > 0 {
		remaining += q.limits.Slack * slackShare / float64(q.limits.Nodes)
	}

	return remaining
}

// countsAt returns the service's counts, advanced to the current step.
func (q *Quota) countsAt(now time.Time, service string) *counts {
	length := max(q.limits.Window/stepsPerWindow, 1)
	step := now.UnixNano() / int64(length)
	c := q.services[service]
	if c == nil {
		c = &counts{step: step}
		q.services[service] = c
	}
	for c.step < step {
		c.advance(step)
	}

	return c
}

// advance moves the counts on by one step towards the given one, or resets them if both windows have passed.
func (c *counts) advance(step int64) {
	if step-c.step >= 2*stepsPerWindow {
		*c = counts{step: step}

		return
	}
	c.step++
	copy(c.requests[:], c.requests[1:])
	copy(c.retries[:], c.retries[1:])
	c.requests[2*stepsPerWindow-1], c.retries[2*stepsPerWindow-1] = 0, 0
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}

	return total
}
