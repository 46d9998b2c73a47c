package fanout

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// needsMost bounds the services that one call tree is said to reach; those with the fewest calls are left out.
	needsMost = 8
	// needLeast is the number of calls per execution below which a service is left out.
	needLeast = 0.05
)

// Need is how many calls to a service one execution causes in its whole call tree.
type Need struct {
	Service string  `json:"service"`
	Calls   float64 `json:"calls"`
}

// CallTrees holds what is known of the call trees of routes; its owner serialises calls.
type CallTrees struct {
	needs map[string][]Need
}

// NewCallTrees returns a store without any tree.
func NewCallTrees() *CallTrees {
	return &CallTrees{needs: map[string][]Need{}}
}

// Set takes what an executing node tells of a route.
func (t *CallTrees) Set(route string, needs []Need) {
	t.needs[route] = needs
}

// All returns the needs of each route that is known; it is a copy, the needs themselves must not be changed.
func (t *CallTrees) All() map[string][]Need {
	return maps.Clone(t.needs)
}

// Needs returns what an execution of the route needs below it, nil if unknown or nothing.
func (t *CallTrees) Needs(route string) []Need {
	return t.needs[route]
}

// MaxCalls returns the most calls to each service that an execution of a known route causes.
func (t *CallTrees) MaxCalls() map[string]float64 {
	heaviest := map[string]float64{}
	for _, needs := range t.needs {
		for _, need := range needs {
			heaviest[need.Service] = max(heaviest[need.Service], need.Calls)
		}
	}

	return heaviest
}

// Callee is a route that an execution calls.
type Callee struct {
	Route   string
	Service string
	Calls   float64
}

// Has reports whether an executing node has told what the route needs.
func (t *CallTrees) Has(route string) bool {
	_, known := t.needs[route]

	return known
}

// Sum adds up what the callees and their own call trees need.
func (t *CallTrees) Sum(callees []Callee) []Need {
	sums := map[string]float64{}
	for _, callee := range callees {
		sums[callee.Service] += callee.Calls
		for _, need := range t.needs[callee.Route] {
			sums[need.Service] += callee.Calls * need.Calls
		}
	}
	found := make([]Need, 0, len(sums))
	for service, calls := range sums {
		if calls >= needLeast {
			found = append(found, Need{Service: service, Calls: calls})
		}
	}
	slices.SortFunc(found, func(a, b Need) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Service, b.Service))
	})

	return found[:min(len(found), needsMost)]
}
