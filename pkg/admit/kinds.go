package admit

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// maxThresholdKinds bounds the memory; all thresholds are dropped when it is reached.
const maxThresholdKinds = 256

// KindThresholds holds for each kind of request the rank below which executions are wasted, because a service that they call
// refuses lower ranks. It is not safe for concurrent use.
type KindThresholds struct {
	thresholds map[string]call.DecayingThreshold
}

// NewKindThresholds returns a KindThresholds without any thresholds.
func NewKindThresholds() *KindThresholds {
	return &KindThresholds{thresholds: map[string]call.DecayingThreshold{}}
}

// ObserveRefusal records an execution that failed because a downstream service refused its rank as below the threshold. The
// recorded threshold never excludes the vital class.
func (k *KindThresholds) ObserveRefusal(now time.Time, kind string, rank, threshold call.Rank) {
	threshold = min(threshold, call.ClassVital.MinRank())
	if threshold <= rank {
		return
	}
	if len(k.thresholds) >= maxThresholdKinds {
		clear(k.thresholds)
	}
	k.thresholds[kind] = call.NewDecayingThreshold(now, threshold)
}

// ObserveSuccess records a successful execution and lowers the threshold to its rank, which is evidently accepted downstream.
func (k *KindThresholds) ObserveSuccess(now time.Time, kind string, rank call.Rank) {
	if current, found := k.thresholds[kind]; found && rank < current.Rank(now) {
		k.thresholds[kind] = call.NewDecayingThreshold(now, rank)
	}
}

// Threshold returns the lowest rank of the kind that is worth running; it decays to zero unless refusals renew it.
func (k *KindThresholds) Threshold(now time.Time, kind string) call.Rank {
	return k.thresholds[kind].Rank(now)
}
