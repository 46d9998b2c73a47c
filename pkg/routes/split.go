package routes

import "sync"

// Splitter deals the requests of each route out to its parts, so that every run of requests keeps the weights.
type Splitter struct {
	mu    sync.Mutex
	dealt map[string][]float64
	known *Table
}

// NewSplitter returns a splitter that has dealt nothing yet.
func NewSplitter() *Splitter {
	return &Splitter{dealt: map[string][]float64{}}
}

// Pick returns the service of the route's next request; a new table starts the count anew.
func (s *Splitter) Pick(table *Table, route *Route) string {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known != table {
		s.known = table
		clear(s.dealt)
	}
	key := route.Host + route.Prefix
	credit := s.dealt[key]
	if credit == nil {
		credit = make([]float64, len(route.Services))
		s.dealt[key] = credit
	}
	best := 0
	for i, part := range route.Services {
		credit[i] += part.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= route.TotalWeight()

	return route.Services[best].Service
}
