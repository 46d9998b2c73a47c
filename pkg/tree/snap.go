package tree

import (
	"slices"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Snapshot is one whole, immutable settings tree; a request keeps the one it began with.
type Snapshot struct {
	revision uint64
	trial    string
	accepted *Snapshot
	tree     *Tree
	root     Policy
	scopes   map[scope]*scopePolicies
}

// scope selects the policies of a service at a place, both empty for the root.
type scope struct {
	place, service string
}

// scopePolicies is what a service at a place needs to classify a request.
type scopePolicies struct {
	base  Policy
	kinds []kind
}

type kind struct {
	matcher matcher
	policy  Policy
}

// EmptySnapshot returns the snapshot that serves without a tree, at revision zero.
func EmptySnapshot() *Snapshot {
	return NewSnapshot(0, &Tree{})
}

// NewSnapshot compiles the tree for look-ups under the number of its accepted revision.
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

// WithTrial returns a copy that is marked as the proposal of that edit, judged by what is accepted.
func (s *Snapshot) WithTrial(edit string, accepted *Snapshot) *Snapshot {
	clone := *s
	clone.trial, clone.accepted = edit, accepted

	return &clone
}

// Trial returns the edit whose proposal the snapshot is, empty for an accepted revision.
func (s *Snapshot) Trial() string {
	return s.trial
}

// GuardClass returns the class under which a request counts in a trial, so that a proposal which demotes a kind does not hide it.
func (s *Snapshot) GuardClass(policy Policy, place, method, path string) call.Class {
	if s.accepted == nil {
		return policy.Priority
	}

	return s.accepted.Policy(place, policy.Service, method, path).Priority
}

// Revision returns the number of the accepted revision that the snapshot came from.
func (s *Snapshot) Revision() uint64 {
	return s.revision
}

// Tree returns the tree that the snapshot was compiled from.
func (s *Snapshot) Tree() *Tree {
	return s.tree
}

// Declares reports whether the tree declares the service; a tree that declares none knows all.
func (s *Snapshot) Declares(service string) bool {
	return len(s.tree.services) == 0 || slices.Contains(s.tree.services, service)
}

// Policy returns the effective policy for a request at that place; an unknown service or kind gets what it inherits.
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

// lookup falls back from a place or a service that states nothing of its own to what it inherits.
func (s *Snapshot) lookup(place, service string) *scopePolicies {
	if found := s.scopes[scope{place, service}]; found != nil {
		return found
	}
	if found := s.scopes[scope{"", service}]; found != nil {
		return found
	}

	return s.scopes[scope{place, ""}]
}

func (t *Tree) hasSettingsAt(place string) bool {
	return slices.ContainsFunc(t.statements, func(s Statement) bool { return s.Path.Place == place })
}

func (t *Tree) compile(place, service string) *scopePolicies {
	c := &scopePolicies{base: t.policyAt(Path{Place: place, Service: service})}
	for _, name := range t.Kinds(service) {
		at := Path{Service: service, Kind: name}
		method, _ := t.Statement(at.Dotted(keyMethod))
		pattern, _ := t.Statement(at.Dotted(keyPath))
		at.Place = place
		c.kinds = append(c.kinds, kind{matcher: newMatcher(method.Value.text, pattern.Value.text), policy: t.policyAt(at)})
	}
	slices.SortStableFunc(c.kinds, func(a, b kind) int { return a.matcher.compare(b.matcher) })

	return c
}
