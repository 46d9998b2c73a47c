package scope

import (
	"sync/atomic"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Scope is the state that a call inherits.
type Scope struct {
	Root call.Root
	// Parent is the operation whose execution makes the call, empty for a root request.
	Parent call.ID
	Caller string
	// Rank is the highest rank on the path from the root request to the call.
	Rank call.Rank
	// Depth is the depth in the call tree, 0 for a root request.
	Depth    int
	Ledger   *Ledger
	Deadline time.Time
	// Snapshot holds the settings that apply to the call.
	Snapshot *tree.Snapshot

	refusal atomic.Pointer[call.Refusal]
}

// SetLastRefusal records that a call in this scope was refused or failed.
func (s *Scope) SetLastRefusal(refusal *call.Refusal) {
	s.refusal.Store(refusal)
}

// LastRefusal returns the refusal that was recorded last, nil if there is none.
func (s *Scope) LastRefusal() *call.Refusal {
	return s.refusal.Load()
}
