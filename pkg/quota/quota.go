package quota

import "time"

// Limits are the fleet's allowance: in each window, repeats up to ratio times the requests plus the slack.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Nodes is the number of nodes that share the slack.
	Nodes int
}

const (
	// ratioShare and slackShare leave the rest to counts that windows cut differently and to nodes that start anew.
	ratioShare = 0.5
	slackShare = 0.25
)

// Quota is one node's part of the allowance for each service; its owner serialises calls.
type Quota struct {
	limits   Limits
	services map[string]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
}

// New returns a quota that starts with this node's part of the slack.
func New(limits Limits) *Quota {
	return &Quota{limits: limits, services: map[string]*bucket{}}
}

// SetNodes takes the number of nodes that share the slack.
func (q *Quota) SetNodes(nodes int) {
	q.limits.Nodes = nodes
}

// Request counts a request to the service, which earns its part of a repeat.
func (q *Quota) Request(now time.Time, service string) {
	b := q.bucket(now, service)
	b.tokens = min(b.tokens+q.limits.Ratio*ratioShare, q.most())
}

// Take spends what a repeat costs at each service, or nothing if one of them has too little left.
func (q *Quota) Take(now time.Time, costs map[string]float64) bool {
	for service, cost := range costs {
		if q.bucket(now, service).tokens < cost {
			return false
		}
	}
	for service, cost := range costs {
		q.bucket(now, service).tokens -= cost
	}

	return true
}

// Left returns what is left for repeats to the service.
func (q *Quota) Left(now time.Time, service string) float64 {
	return q.bucket(now, service).tokens
}

func (q *Quota) most() float64 {
	return max(1, q.slack()) + 1
}

func (q *Quota) slack() float64 {
	return q.limits.Slack * slackShare / float64(max(q.limits.Nodes, 1))
}

// bucket returns the service's tokens with the slack that the time has brought back.
func (q *Quota) bucket(now time.Time, service string) *bucket {
	known := q.services[service]
	if known == nil {
		known = &bucket{tokens: q.slack(), at: now}
		q.services[service] = known
	}
	if passed := now.Sub(known.at); passed > 0 && q.limits.Window > 0 {
		known.tokens = min(known.tokens+q.slack()*float64(passed)/float64(q.limits.Window), q.most())
		known.at = now
	}

	return known
}
