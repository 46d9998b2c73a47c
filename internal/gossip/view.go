package gossip

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// view is an immutable snapshot of the fleet.
type view struct {
	// entries are all members, live those that are neither dead nor left.
	entries     []member.Entry
	live        []member.Entry
	byService   map[string][]member.Entry
	unreachable []member.UnreachableDataCentre
	serial      uint64
	createdAt   time.Time
}

func newView(entries []member.Entry) *view {
	v := &view{entries: entries, byService: map[string][]member.Entry{}}
	for _, entry := range entries {
		if entry.State.Ended() {
			continue
		}
		v.live = append(v.live, entry)
		if entry.Peers != "" {
			v.byService[entry.Service] = append(v.byService[entry.Service], entry)
		}
	}

	return v
}

// maxViewAge is the age at which a view is refreshed without a change of an entry while a data centre is unreachable, since
// reachability depends on the time.
const maxViewAge = time.Second

// refreshView replaces the view if the fleet may have changed. The caller must hold g.mu.
func (g *Gossip) refreshView(now time.Time) {
	previous := g.view.Load()
	unreachable := g.fleet.UnreachableDataCentres(now)
	unchanged := previous.serial == g.fleet.Serial() && len(unreachable) == len(previous.unreachable)
	if unchanged && (len(unreachable) == 0 || now.Sub(previous.createdAt) < maxViewAge) {
		return
	}
	entries := g.fleet.Entries(now)
	for i := range entries {
		if target, fixed := g.fixedTargets[entries[i].ID]; fixed {
			entries[i] = withFixedAddresses(entries[i], target)
		}
	}
	next := newView(entries)
	next.serial = g.fleet.Serial()
	next.unreachable = unreachable
	next.createdAt = now
	g.view.Store(next)
}

// withFixedAddresses returns the entry with the addresses that this node's settings give for the target.
func withFixedAddresses(entry member.Entry, target config.Target) member.Entry {
	if target.Peers != "" && entry.Peers != "" {
		entry.Peers = target.Peers
	}
	if target.Control != "" {
		entry.Control = target.Control
	}

	return entry
}
