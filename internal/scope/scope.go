package scope

import (
	"sync/atomic"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Scope is what a call inherits.
type Scope struct {
	Root   call.Root
	Parent call.ID
	Caller string
	// Rank is the highest of all hops above.
	Rank     call.Rank
	Depth    int
	Ledger   *Ledger
	Deadline time.Time
	Snapshot *tree.Snapshot

	refusal atomic.Pointer[call.Refusal]
}

// SetLastRefusal remembers that a call under this scope got no answer.
func (s *Scope) SetLastRefusal(refusal *call.Refusal) {
	s.refusal.Store(refusal)
}

// LastRefusal returns the latest refusal that was noted, nil for none.
func (s *Scope) LastRefusal() *call.Refusal {
	return s.refusal.Load()
}
