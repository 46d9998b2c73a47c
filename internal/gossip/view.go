package gossip

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// view is what others read of the fleet without a lock.
type view struct {
	entries   []member.Entry
	living    []member.Entry
	byService map[string][]member.Entry
	cutOffs   []member.UnreachableDataCentre
	serial    uint64
	at        time.Time
}

func newView(entries []member.Entry) *view {
	v := &view{entries: entries, byService: map[string][]member.Entry{}}
	for _, entry := range entries {
		if entry.State.Ended() {
			continue
		}
		v.living = append(v.living, entry)
		if entry.Peers != "" {
			v.byService[entry.Service] = append(v.byService[entry.Service], entry)
		}
	}

	return v
}

// renewAfter is the age at which a view is made anew though no entry changed, because cuts show by the passing of time.
const renewAfter = time.Second

// renew makes the view anew if anything may have changed; the caller holds the lock.
func (g *Gossip) renew(now time.Time) {
	last := g.view.Load()
	cutOffs := g.fleet.UnreachableDataCentres(now)
	unchanged := last.serial == g.fleet.Serial() && len(cutOffs) == len(last.cutOffs)
	if unchanged && (len(cutOffs) == 0 || now.Sub(last.at) < renewAfter) {
		return
	}
	entries := g.fleet.Entries(now)
	for i := range entries {
		if target, fixed := g.fixed[entries[i].ID]; fixed {
			entries[i] = atFixedAddress(entries[i], target)
		}
	}
	next := newView(entries)
	next.serial = g.fleet.Serial()
	next.cutOffs = cutOffs
	next.at = now
	g.view.Store(next)
}

// atFixedAddress returns the entry with the addresses from this node's settings.
func atFixedAddress(entry member.Entry, target config.Target) member.Entry {
	if target.Peers != "" && entry.Peers != "" {
		entry.Peers = target.Peers
	}
	if target.Control != "" {
		entry.Control = target.Control
	}

	return entry
}
