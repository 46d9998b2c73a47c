package entry

import (
	"sync"

	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// incarnations caches the incarnations of targets that are configured in the settings, and so lack one in the membership view.
type incarnations struct {
	mu     sync.RWMutex
	byNode map[string]uint64
}

func newIncarnations() *incarnations {
	return &incarnations{byNode: map[string]uint64{}}
}

// complete returns the target with its cached incarnation if it has none of its own. It stays zero if none is cached.
func (i *incarnations) complete(target member.Entry) member.Entry {
	if target.Incarnation != 0 {
		return target
	}
	i.mu.RLock()
	defer i.mu.RUnlock()
	target.Incarnation = i.byNode[target.ID]

	return target
}

// record caches the incarnation that a target reported.
func (i *incarnations) record(target member.Entry, incarnation uint64) {
	if incarnation == 0 || incarnation == target.Incarnation {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.byNode[target.ID] = incarnation
}
