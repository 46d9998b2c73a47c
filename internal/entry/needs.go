package entry

import (
	"sync"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/credit"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

type needKey struct {
	service string
	kind    string
}

// needs estimates, for each kind of request, the number of credits that a call spends further down its call tree. It is safe
// for concurrent use.
type needs struct {
	mu    sync.Mutex
	kinds map[needKey]*credit.NeedEstimator
}

func newNeeds() *needs {
	return &needs{kinds: map[needKey]*credit.NeedEstimator{}}
}

// estimate returns the number of credits to request for a call. A root request has no sibling calls to share with, so it
// requests enough for calls down to the depth limit.
func (n *needs) estimate(now time.Time, policy tree.Policy, depth int) int {
	if depth == 0 {
		return credit.UnknownNeed
	}
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.estimator(policy).Estimate(now)
}

func (n *needs) observe(now time.Time, policy tree.Policy, granted, unspent credit.Grant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.estimator(policy).Observe(now, granted.Attempts-unspent.Attempts, unspent.Attempts == 0)
}

func (n *needs) estimator(policy tree.Policy) *credit.NeedEstimator {
	key := needKey{service: policy.Service, kind: policy.Kind}
	estimator := n.kinds[key]
	if estimator == nil {
		estimator = &credit.NeedEstimator{}
		n.kinds[key] = estimator
	}

	return estimator
}
