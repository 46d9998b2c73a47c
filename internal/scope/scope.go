package scope

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Ledger holds the attempts that a root request or an execution may still make.
type Ledger interface {
	// Spend takes one attempt and the sub-grant that goes with it, false if there is none.
	Spend() (grant int, ok bool)
	// Return gives back what the attempt left unspent.
	Return(unspent int)
	// Close ends the ledger and returns what is left.
	Close() int
}

// Scope is what a call inherits.
type Scope struct {
	Root   call.Root
	Parent call.ID
	Caller string
	// Rank is the highest of all hops above.
	Rank     call.Rank
	Depth    int
	Ledger   Ledger
	Expires  time.Time
	Snapshot *tree.Snapshot
}
