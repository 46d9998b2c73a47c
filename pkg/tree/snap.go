package tree

// Snapshot is one whole, immutable settings tree; a request keeps the one it began with.
type Snapshot struct {
	revision uint64
}

// Empty returns the snapshot that serves without a tree, at revision zero.
func Empty() *Snapshot {
	return &Snapshot{}
}

// Revision returns the number of the accepted revision that the snapshot came from.
func (s *Snapshot) Revision() uint64 {
	return s.revision
}

// Policy returns the effective policy for a request at that place; an unknown service or kind gets what it inherits.
func (s *Snapshot) Policy(_, service, _, _ string) Policy {
	policy := Default()
	policy.Service = service

	return policy
}
