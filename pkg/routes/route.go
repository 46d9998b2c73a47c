package routes

import "time"

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// Kinds of requests by what may be repeated.
const (
	// NonIdempotent requests run at most once for each request ID.
	NonIdempotent Idempotency = iota
	// Idempotent requests may run any number of times.
	Idempotent
)

// String returns the name that logs use.
func (r Idempotency) String() string {
	if r == Idempotent {
		return "idempotent"
	}

	return "once"
}

// WeightedService is one service of a route with its share of the requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route says what becomes of the requests with one host and path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Idempotency Idempotency
	// Services has at least one service.
	Services []WeightedService
	// Timeout is the longest time that a request is kept waiting, zero for no bound of the route's own.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is worth most, zero if unknown.
	LatencyTarget time.Duration
	// Attempts is the number of targets that one request may be sent to.
	Attempts int
	// Priority is the rank among the routes, 0 for the most important.
	Priority int
}

// TotalWeight returns the sum of the weights of the parts.
func (r *Route) TotalWeight() float64 {
	sum := 0.0
	for _, part := range r.Services {
		sum += part.Weight
	}

	return sum
}
