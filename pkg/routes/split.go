package routes

import "sync"

// Splitter distributes the requests of each route over its services by smooth weighted round robin, so that short runs of
// requests also follow the weights. It is safe for concurrent use.
type Splitter struct {
	mu             sync.Mutex
	currentWeights map[string][]float64
	table          *Table
}

// NewSplitter returns a Splitter without any distribution state.
func NewSplitter() *Splitter {
	return &Splitter{currentWeights: map[string][]float64{}}
}

// Pick returns the service for the next request of the route. The distribution restarts with each new table.
func (s *Splitter) Pick(table *Table, route *Route) string {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != table {
		s.table = table
		clear(s.currentWeights)
	}
	key := route.Host + route.Prefix
	weights := s.currentWeights[key]
	if weights == nil {
		weights = make([]float64, len(route.Services))
		s.currentWeights[key] = weights
	}
	best := 0
	for i, service := range route.Services {
		weights[i] += service.Weight
		if weights[i] > weights[best] {
			best = i
		}
	}
	weights[best] -= route.TotalWeight()

	return route.Services[best].Service
}
