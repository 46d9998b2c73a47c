package trace

import "sync"

// maxRecentDecisions is the number of decisions that a node keeps in memory for the command explain.
const maxRecentDecisions = 2048

// ring is a ring buffer of the latest decisions. It is safe for concurrent use.
type ring struct {
	mu        sync.Mutex
	capacity  int
	decisions []Decision
	oldest    int
}

func newRing(capacity int) *ring {
	return &ring{capacity: capacity}
}

func (r *ring) add(decision Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if len(r.decisions) < r.capacity {
		r.decisions = append(r.decisions, decision)

		return
	}
	r.decisions[r.oldest] = decision
	r.oldest = (r.oldest + 1) % len(r.decisions)
}

// find returns the decisions whose operation or root request has the ID, oldest first.
func (r *ring) find(id string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()

	var found []Decision
	for i := range r.decisions {
		decision := r.decisions[(r.oldest+i)%len(r.decisions)]
		if string(decision.Op) == id || string(decision.Root) == id {
			found = append(found, decision)
		}
	}

	return found
}
