package routes

import "time"

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// Values of Idempotency.
const (
	// NonIdempotent requests run at most once for each request ID.
	NonIdempotent Idempotency = iota
	// Idempotent requests may run any number of times.
	Idempotent
)

// String returns the name used in logs.
func (r Idempotency) String() string {
	if r == Idempotent {
		return "idempotent"
	}

	return "once"
}

// WeightedService is a service of a route with its weight, its share of the requests relative to the other services.
type WeightedService struct {
	Service string
	Weight  float64
}

// invalid reports whether the service can't get requests by its weight.
func (s WeightedService) invalid() bool {
	return s.Service == "" || s.Weight < 0
}

// MaxTimeout is the longest timeout and latency target that a route may have.
const MaxTimeout = 24 * time.Hour

// Route defines how requests with a given host and path prefix are forwarded.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Idempotency Idempotency
	// Services has at least one service.
	Services []WeightedService
	// Timeout bounds the time until the response, zero if the route sets no bound.
	Timeout time.Duration
	// LatencyTarget is the latency up to which a response has its full value to the caller, zero if unknown.
	LatencyTarget time.Duration
	// Attempts is the largest number of targets that a request may be sent to, the first attempt included.
	Attempts int
	// Priority orders the routes by importance, 0 is the most important.
	Priority int
}

// TotalWeight returns the sum of the weights of the services.
func (r *Route) TotalWeight() float64 {
	sum := 0.0
	for _, service := range r.Services {
		sum += service.Weight
	}

	return sum
}
