package scope

import (
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
	Expires  time.Time
	Snapshot *tree.Snapshot
}
