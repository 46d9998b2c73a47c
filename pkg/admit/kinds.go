package admit

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const belowKinds = 256

// KindThresholds follows for each kind the rank below which executions are in vain, because services that they call refuse them.
type KindThresholds struct {
	known map[string]call.DecayingThreshold
}

// NewKindThresholds returns an empty Kinds.
func NewKindThresholds() *KindThresholds {
	return &KindThresholds{known: map[string]call.DecayingThreshold{}}
}

// ObserveRefusal notes an execution that ended in vain because a service below took no rank under the threshold.
func (k *KindThresholds) ObserveRefusal(now time.Time, kind string, rank, threshold call.Rank) {
	threshold = min(threshold, call.ClassVital.MinRank())
	if threshold <= rank {
		return
	}
	if len(k.known) >= belowKinds {
		clear(k.known)
	}
	k.known[kind] = call.NewDecayingThreshold(now, threshold)
}

// ObserveSuccess notes an execution that was of use, which shows that its rank is taken.
func (k *KindThresholds) ObserveSuccess(now time.Time, kind string, rank call.Rank) {
	if known, found := k.known[kind]; found && rank < known.Rank(now) {
		k.known[kind] = call.NewDecayingThreshold(now, rank)
	}
}

// Threshold returns the lowest rank of the kind that is worth running, which fades without news.
func (k *KindThresholds) Threshold(now time.Time, kind string) call.Rank {
	return k.known[kind].Rank(now)
}
