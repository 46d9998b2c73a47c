package tree

import "slices"

// Target is the place and service of a backend server.
type Target struct {
	Place   string
	Service string
}

// Plan describes the effect of an edit before it is applied.
type Plan struct {
	Steps []Step `json:"steps"`
	// Touched is the number of targets, out of Total, for which an effective value changes.
	Touched    int         `json:"touched"`
	Total      int         `json:"total"`
	NearBounds []NearBound `json:"near"`
}

// Step is a change and the number of targets it affects.
type Step struct {
	Change
	// Targets is the number of targets for which the effective value changes.
	Targets int `json:"targets"`
}

// NearBound is a changed value that is close to a bound of its allowed range.
type NearBound struct {
	Dotted string `json:"dotted"`
	Value  Value  `json:"value"`
	// Bound describes the bound.
	Bound string `json:"rail"`
}

// NewPlan returns the changes between two trees and their effect on the given targets.
func NewPlan(from, to *Tree, targets []Target) Plan {
	plan := Plan{Steps: []Step{}, NearBounds: []NearBound{}, Total: len(targets)}
	targetCounts := map[Target]int{}
	for _, target := range targets {
		targetCounts[target]++
	}
	touched := map[Target]bool{}
	for _, change := range Diff(from, to) {
		step := Step{Change: change}
		for target, count := range targetCounts {
			if change.affects(from, to, target) {
				step.Targets += count
				touched[target] = true
			}
		}
		plan.Steps = append(plan.Steps, step)
		plan.addNearBound(change)
	}
	for target := range touched {
		plan.Touched += targetCounts[target]
	}

	return plan
}

// addNearBound records the new value of the change if it is close to a bound.
func (p *Plan) addNearBound(change Change) {
	if change.After == nil {
		return
	}
	key := keysByName[change.Key]
	if bound := key.NearBound(*change.After); bound != "" {
		p.NearBounds = append(p.NearBounds, NearBound{Dotted: change.Dotted(), Value: *change.After, Bound: bound})
	}
}

// affects reports whether the change alters an effective value of the target; a value overridden at a more specific level
// does not count.
func (c Change) affects(from, to *Tree, target Target) bool {
	if !levelMatches(c.Path.Place, target.Place) || !levelMatches(c.Path.Service, target.Service) {
		return false
	}
	key := keysByName[c.Key]
	if key.get == nil {
		// method and path affect all targets of the service, places and services those that they add or remove
		return c.Path.Service != "" || listsTarget(c.After, target) != listsTarget(c.Before, target)
	}
	kinds := []string{c.Path.Kind}
	if c.Path.Kind == "" {
		kinds = append(kinds, to.Kinds(target.Service)...)
	}

	return slices.ContainsFunc(kinds, func(kind string) bool {
		at := Path{Place: target.Place, Service: target.Service, Kind: kind}
		before, after := from.policyAt(at), to.policyAt(at)

		return !key.get(&before).Equal(key.get(&after))
	})
}

// listsTarget reports whether a list of places or services contains the place or service of the target.
func listsTarget(v *Value, target Target) bool {
	return v != nil && (slices.Contains(v.list, target.Place) || slices.Contains(v.list, target.Service))
}
