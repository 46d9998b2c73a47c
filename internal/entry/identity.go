package entry

import (
	"sync"

	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// identities remembers the incarnations of targets that the settings name without one.
type identities struct {
	mu    sync.RWMutex
	known map[string]uint64
}

func newIdentities() *identities {
	return &identities{known: map[string]uint64{}}
}

// complete returns the target with its incarnation, as far as that was learnt.
func (i *identities) complete(target member.Entry) member.Entry {
	if target.Incarnation != 0 {
		return target
	}
	i.mu.RLock()
	defer i.mu.RUnlock()
	target.Incarnation = i.known[target.ID]

	return target
}

// learn takes the incarnation that a target states of itself.
func (i *identities) learn(target member.Entry, incarnation uint64) {
	if incarnation == 0 || incarnation == target.Incarnation {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.known[target.ID] = incarnation
}
