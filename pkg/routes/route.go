package routes

import "time"

// Repeat says whether a request may run more than once.
type Repeat uint8

// Kinds of requests by what may be repeated.
const (
	// RepeatNever requests run at most once for each request ID.
	RepeatNever Repeat = iota
	// RepeatFree requests may run any number of times.
	RepeatFree
)

// String returns the name that logs use.
func (r Repeat) String() string {
	if r == RepeatFree {
		return "idempotent"
	}

	return "once"
}

// Part is one service of a route with its share of the requests.
type Part struct {
	Service string
	Weight  float64
}

// Route says what becomes of the requests with one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat Repeat
	// Parts has at least one service.
	Parts []Part
	// Timeout is the longest time that a request is kept waiting, zero for no bound of the route's own.
	Timeout time.Duration
	// Aim is the time within which an answer is worth most, zero if unknown.
	Aim time.Duration
	// Attempts is the number of targets that one request may be sent to.
	Attempts int
	// Priority is the rank among the routes, 0 for the most important.
	Priority int
}

// Weight returns the sum of the weights of the parts.
func (r *Route) Weight() float64 {
	sum := 0.0
	for _, part := range r.Parts {
		sum += part.Weight
	}

	return sum
}
