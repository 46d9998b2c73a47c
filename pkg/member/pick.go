package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRandomPicks is the number of random picks before pick scans all entries.
const maxRandomPicks = 16

// pick returns a random entry other than the node's own that matches, or nil if there is none.
func (f *Fleet) pick(match func(*Entry) bool) *Entry {
	if len(f.ids) == 0 {
		return nil
	}
	for range maxRandomPicks {
		entry := f.records[f.ids[f.random.IntN(len(f.ids))]].entry
		if entry.ID != f.self.ID && match(entry) {
			return entry
		}
	}
	offset := f.random.IntN(len(f.ids))
	for i := range f.ids {
		entry := f.records[f.ids[(i+offset)%len(f.ids)]].entry
		if entry.ID != f.self.ID && match(entry) {
			return entry
		}
	}

	return nil
}

// alive reports whether the entry is in no end state.
func alive(e *Entry) bool {
	return !e.State.Ended()
}

// callable reports whether the entry is of a live node with a control address. Fixed targets from the settings may have none.
func callable(e *Entry) bool {
	return alive(e) && e.Control != ""
}

// pickMany returns up to count distinct live entries: the first from any data centre, the others from the node's own if possible.
func (f *Fleet) pickMany(count int) []*Entry {
	var picked []*Entry
	for i := range count {
		local := i > 0
		eligible := func(e *Entry) bool {
			return e.State != StateSuspect && callable(e) && !slices.Contains(picked, e)
		}
		entry := f.pick(func(e *Entry) bool { return eligible(e) && (!local || e.DataCentre == f.self.DataCentre) })
		if entry == nil && local {
			entry = f.pick(eligible)
		}
		if entry != nil {
			picked = append(picked, entry)
		}
	}

	return picked
}

// relaysPerPair is the number of relays in each data centre that synchronise it with one other data centre.
const relaysPerPair = 2

// relays returns the nodes of a data centre that synchronise it with the remote one.
func (f *Fleet) relays(dataCentre, remote string) []*Entry {
	return f.selectForDuty(dataCentre, remote, relaysPerPair)
}

// contactsPerDataCentre is the number of nodes per data centre that the platform's table lists as contacts for joining nodes.
const contactsPerDataCentre = 8

// IsContact reports whether the platform's table should list this node as a contact for joining nodes.
func (f *Fleet) IsContact() bool {
	return slices.Contains(f.selectForDuty(f.self.DataCentre, "", contactsPerDataCentre), f.self)
}

// selectForDuty returns up to count nodes of a data centre by rendezvous hashing over the duty, so that all nodes with the same view
// select the same ones.
func (f *Fleet) selectForDuty(dataCentre, duty string, count int) []*Entry {
	var candidates []*Entry
	for _, id := range f.ids {
		entry := f.records[id].entry
		if entry.DataCentre == dataCentre && callable(entry) && entry.State != StateSuspect {
			candidates = append(candidates, entry)
		}
	}
	weight := func(e *Entry) uint64 { return xxhash.Sum64String(e.ID + "\x00" + duty) }
	slices.SortFunc(candidates, func(a, b *Entry) int { return cmp.Compare(weight(a), weight(b)) })

	return candidates[:min(count, len(candidates))]
}

// dataCentres returns the sorted names of all data centres with a live node.
func (f *Fleet) dataCentres() []string {
	seen := map[string]bool{}
	for _, r := range f.records {
		if alive(r.entry) {
			seen[r.entry.DataCentre] = true
		}
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

// syncAsRelay returns a digest comparison with each data centre for which this node is a relay.
func (f *Fleet) syncAsRelay(now time.Time) []Action {
	var actions []Action
	for _, name := range f.dataCentres() {
		if name == f.self.DataCentre || !slices.Contains(f.relays(f.self.DataCentre, name), f.self) {
			continue
		}
		remote := f.pick(func(e *Entry) bool { return callable(e) && e.DataCentre == name })
		if remoteRelays := f.relays(name, f.self.DataCentre); len(remoteRelays) > 0 && !f.unreachable(name, now) {
			remote = remoteRelays[f.random.IntN(len(remoteRelays))]
		}
		if remote != nil {
			actions = append(actions, f.syncWith(now, remote.ID, remote.Control))
		}
	}

	return actions
}

// syncWith returns a digest comparison with the node at the address.
func (f *Fleet) syncWith(now time.Time, id, address string) Action {
	return Action{Kind: ActionSync, Sent: now, To: id, Address: address, Digest: f.digest()}
}

// exchangeWith returns an exchange with the node of the entry. If that node is suspect or dead in this node's view, the message says so,
// and the node can refute it.
func (f *Fleet) exchangeWith(now time.Time, entry *Entry) Action {
	message := f.nextMessage(now)
	if verdictRank(entry.State) > 0 {
		message.Updates = append(message.Updates, f.updateOf(f.records[entry.ID], now))
	}
	message.Updates = append(message.Updates, f.departureFor(entry.ID, now)...)

	return Action{Kind: ActionExchange, Sent: now, To: entry.ID, Address: entry.Control, Message: message}
}
