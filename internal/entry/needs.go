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

// needs estimates for each kind what its calls spend below themselves.
type needs struct {
	mu    sync.Mutex
	kinds map[needKey]*credit.NeedEstimator
}

func newNeeds() *needs {
	return &needs{kinds: map[needKey]*credit.NeedEstimator{}}
}

// estimate says what to ask for; a root request has no siblings and may take along all that the depth needs.
func (n *needs) estimate(now time.Time, policy tree.Policy, depth int) int {
	if depth == 0 {
		return credit.UnknownNeed
	}
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.of(policy).Estimate(now)
}

func (n *needs) observe(now time.Time, policy tree.Policy, granted, unspent credit.Grant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.of(policy).Observe(now, granted.Attempts-unspent.Attempts, unspent.Attempts == 0)
}

func (n *needs) of(policy tree.Policy) *credit.NeedEstimator {
	key := needKey{service: policy.Service, kind: policy.Kind}
	need := n.kinds[key]
	if need == nil {
		need = &credit.NeedEstimator{}
		n.kinds[key] = need
	}

	return need
}
