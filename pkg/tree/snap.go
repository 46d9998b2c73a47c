package tree

import (
	"slices"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Snapshot is an immutable settings tree compiled for look-ups; a request uses the same snapshot from start to end.
type Snapshot struct {
	revision uint64
	// trial is the edit that is on trial, and accepted the snapshot in force without it; both are empty for an accepted revision.
	trial    string
	accepted *Snapshot
	tree     *Tree
	root     Policy
	scopes   map[scope]*scopePolicies
}

// scope identifies the policies of a service at a place; both are empty for the root.
type scope struct {
	place, service string
}

// scopePolicies holds the policies of a service at a place: those of its kinds, from the most specific matcher to the least,
// and base for all other requests.
type scopePolicies struct {
	base  Policy
	kinds []kind
}

// kind is a kind of request, with its matcher and its policy.
type kind struct {
	matcher matcher
	policy  Policy
}

// EmptySnapshot returns the snapshot of an empty tree, at revision 0.
func EmptySnapshot() *Snapshot {
	return NewSnapshot(0, &Tree{})
}

// NewSnapshot compiles the tree; revision is the number of its accepted revision.
func NewSnapshot(revision uint64, tree *Tree) *Snapshot {
	s := &Snapshot{revision: revision, tree: tree, root: tree.policyAt(Path{}), scopes: map[scope]*scopePolicies{}}
	for _, place := range append([]string{""}, tree.places...) {
		if place != "" && !tree.hasSettingsAt(place) {
			continue
		}
		s.scopes[scope{place, ""}] = &scopePolicies{base: tree.policyAt(Path{Place: place})}
		for _, service := range tree.services {
			s.scopes[scope{place, service}] = tree.compile(place, service)
		}
	}

	return s
}

// WithTrial returns a copy marked as the proposal of an edit; GuardClass takes the classes from accepted.
func (s *Snapshot) WithTrial(edit string, accepted *Snapshot) *Snapshot {
	clone := *s
	clone.trial, clone.accepted = edit, accepted

	return &clone
}

// Trial returns the ID of the edit that the snapshot proposes, empty for an accepted revision.
func (s *Snapshot) Trial() string {
	return s.trial
}

// GuardClass returns the class under which a request counts towards a trial's guard. During a trial it is the class of the
// accepted snapshot, so that a proposal cannot escape the guard by lowering the class of a kind.
func (s *Snapshot) GuardClass(policy Policy, place, method, path string) call.Class {
	if s.accepted == nil {
		return policy.Priority
	}

	return s.accepted.Policy(place, policy.Service, method, path).Priority
}

// Revision returns the number of the accepted revision that the snapshot was compiled from or, for a proposal, is based on.
func (s *Snapshot) Revision() uint64 {
	return s.revision
}

// Tree returns the tree that the snapshot was compiled from.
func (s *Snapshot) Tree() *Tree {
	return s.tree
}

// Declares reports whether the tree declares the service, or declares no services at all.
func (s *Snapshot) Declares(service string) bool {
	return len(s.tree.services) == 0 || slices.Contains(s.tree.services, service)
}

// Policy returns the effective policy for a request at a place; an unknown service or kind gets the policy of the level above.
func (s *Snapshot) Policy(place, service, method, path string) Policy {
	policies := s.lookup(place, service)
	if policies == nil {
		policy := s.root
		policy.Service = service

		return policy
	}
	path = cleanPath(path)
	for i := range policies.kinds {
		if policies.kinds[i].matcher.matches(method, path) {
			return policies.kinds[i].policy
		}
	}
	policy := policies.base
	policy.Service = service

	return policy
}

// lookup returns the policies of the service at the place. A place without settings of its own has those of all places, and
// an unknown service those of the place alone, or nil.
func (s *Snapshot) lookup(place, service string) *scopePolicies {
	if found := s.scopes[scope{place, service}]; found != nil {
		return found
	}
	if found := s.scopes[scope{"", service}]; found != nil {
		return found
	}

	return s.scopes[scope{place, ""}]
}

// hasSettingsAt reports whether any setting is stated for the place.
func (t *Tree) hasSettingsAt(place string) bool {
	return slices.ContainsFunc(t.statements, func(s Statement) bool { return s.Path.Place == place })
}

// compile builds the policies and matchers of a service at a place.
func (t *Tree) compile(place, service string) *scopePolicies {
	policies := &scopePolicies{base: t.policyAt(Path{Place: place, Service: service})}
	for _, name := range t.Kinds(service) {
		at := Path{Service: service, Kind: name}
		method, _ := t.Statement(at.Dotted(keyMethod))
		pattern, _ := t.Statement(at.Dotted(keyPath))
		at.Place = place
		policies.kinds = append(policies.kinds, kind{matcher: newMatcher(method.Value.text, pattern.Value.text), policy: t.policyAt(at)})
	}
	slices.SortStableFunc(policies.kinds, func(a, b kind) int { return a.matcher.compare(b.matcher) })

	return policies
}
