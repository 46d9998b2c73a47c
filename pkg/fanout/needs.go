package fanout

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxNeeds bounds the services of one call tree; those with the fewest calls are left out.
	maxNeeds = 8
	// minNeedCalls is the number of calls below which a service is left out.
	minNeedCalls = 0.05
)

// Need is the number of calls to a service that one execution causes in its call tree: its own calls, the calls that these cause, and
// so on.
type Need struct {
	Service string  `json:"service"`
	Calls   float64 `json:"calls"`
}

// CallTrees holds for each route the needs of its call tree, as reported by executing nodes: the nodes beside the backend servers that
// run the requests. It is not safe for concurrent use.
type CallTrees struct {
	needs map[string][]Need
}

// NewCallTrees returns an empty table.
func NewCallTrees() *CallTrees {
	return &CallTrees{needs: map[string][]Need{}}
}

// Set stores the needs of a route as reported by an executing node.
func (t *CallTrees) Set(route string, needs []Need) {
	t.needs[route] = needs
}

// All returns a copy of the table. The slices are shared and must not be modified.
func (t *CallTrees) All() map[string][]Need {
	return maps.Clone(t.needs)
}

// Needs returns the needs of a route without the execution itself, nil if there are none or they are unknown.
func (t *CallTrees) Needs(route string) []Need {
	return t.needs[route]
}

// MaxCalls returns for each service the maximum number of calls that an execution of any known route causes.
func (t *CallTrees) MaxCalls() map[string]float64 {
	heaviest := map[string]float64{}
	for _, needs := range t.needs {
		for _, need := range needs {
			heaviest[need.Service] = max(heaviest[need.Service], need.Calls)
		}
	}

	return heaviest
}

// Callee is a route that an execution calls, with the calls per execution.
type Callee struct {
	Route   string
	Service string
	Calls   float64
}

// Has reports whether an executing node has reported the needs of the route.
func (t *CallTrees) Has(route string) bool {
	_, known := t.needs[route]

	return known
}

// Sum returns the needs of an execution from its callees and their call trees, those with the most calls first.
func (t *CallTrees) Sum(callees []Callee) []Need {
	sums := map[string]float64{}
	for _, callee := range callees {
		sums[callee.Service] += callee.Calls
		for _, need := range t.needs[callee.Route] {
			sums[need.Service] += callee.Calls * need.Calls
		}
	}
	needs := make([]Need, 0, len(sums))
	for service, calls := range sums {
		if calls >= minNeedCalls {
			needs = append(needs, Need{Service: service, Calls: calls})
		}
	}
	slices.SortFunc(needs, func(a, b Need) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Service, b.Service))
	})

	return needs[:min(len(needs), maxNeeds)]
}
