package admit

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const belowKinds = 256

// Kinds follows for each kind the rank below which executions are in vain, because services that they call refuse them.
type Kinds struct {
	known map[string]call.DecayingThreshold
}

// NewKinds returns an empty Kinds.
func NewKinds() *Kinds {
	return &Kinds{known: map[string]call.DecayingThreshold{}}
}

// Refused notes an execution that ended in vain because a service below took no rank under the threshold.
func (k *Kinds) Refused(now time.Time, kind string, rank, threshold call.Rank) {
	threshold = min(threshold, call.ClassVital.MinRank())
	if threshold <= rank {
		return
	}
	if len(k.known) >= belowKinds {
		clear(k.known)
	}
	k.known[kind] = call.NewDecayingThreshold(now, threshold)
}

// Done notes an execution that was of use, which shows that its rank is taken.
func (k *Kinds) Done(now time.Time, kind string, rank call.Rank) {
	if known, found := k.known[kind]; found && rank < known.Rank(now) {
		k.known[kind] = call.NewDecayingThreshold(now, rank)
	}
}

// Threshold returns the lowest rank of the kind that is worth running, which fades without news.
func (k *Kinds) Threshold(now time.Time, kind string) call.Rank {
	return k.known[kind].Rank(now)
}
