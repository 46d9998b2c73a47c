package trace

import "sync"

// recentDecisions is how many decisions a node keeps for explain.
const recentDecisions = 2048

type ring struct {
	mu   sync.Mutex
	size int
	all  []Decision
	next int
}

func newRing(size int) *ring {
	return &ring{size: size}
}

func (r *ring) add(decision Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if len(r.all) < r.size {
		r.all = append(r.all, decision)

		return
	}
	r.all[r.next] = decision
	r.next = (r.next + 1) % len(r.all)
}

func (r *ring) find(id string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()

	var found []Decision
	for i := range r.all {
		decision := r.all[(r.next+i)%len(r.all)]
		if string(decision.Op) == id || string(decision.Root) == id {
			found = append(found, decision)
		}
	}

	return found
}
