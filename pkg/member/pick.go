package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// attemptsToPick bounds the random tries before the whole list is looked through.
const attemptsToPick = 16

// pick returns a random entry that fits, nil if there is none.
func (f *Fleet) pick(fits func(*Entry) bool) *Entry {
	if len(f.ids) == 0 {
		return nil
	}
	for range attemptsToPick {
		entry := f.records[f.ids[f.random.IntN(len(f.ids))]].entry
		if entry.ID != f.self.ID && fits(entry) {
			return entry
		}
	}
	offset := f.random.IntN(len(f.ids))
	for i := range f.ids {
		entry := f.records[f.ids[(i+offset)%len(f.ids)]].entry
		if entry.ID != f.self.ID && fits(entry) {
			return entry
		}
	}

	return nil
}

func alive(e *Entry) bool {
	return !e.State.Ended()
}

// callable reports whether the entry is of a living node that can be called, which a fixed target may not be.
func callable(e *Entry) bool {
	return alive(e) && e.Control != ""
}

// pickMany returns up to count different living entries, most of them in the node's own data centre.
func (f *Fleet) pickMany(count int) []*Entry {
	var picked []*Entry
	for i := range count {
		near := i > 0
		fresh := func(e *Entry) bool {
			return e.State != StateSuspect && callable(e) && !slices.Contains(picked, e)
		}
		entry := f.pick(func(e *Entry) bool { return fresh(e) && (!near || e.DataCentre == f.self.DataCentre) })
		if entry == nil && near {
			entry = f.pick(fresh)
		}
		if entry != nil {
			picked = append(picked, entry)
		}
	}

	return picked
}

// relaysPerPair is the number of nodes that keep two data centres in step.
const relaysPerPair = 2

// relays returns the nodes of one data centre that speak for it to another.
func (f *Fleet) relays(of, to string) []*Entry {
	return f.first(of, to, relaysPerPair)
}

// contactsPerDataCentre is the number of nodes that newcomers find in the table for each data centre.
const contactsPerDataCentre = 8

// IsContact reports whether newcomers should find this node in the table.
func (f *Fleet) IsContact() bool {
	return slices.Contains(f.first(f.self.DataCentre, "", contactsPerDataCentre), f.self)
}

// first returns up to count nodes of a data centre for a duty, the same ones in every node's eyes.
func (f *Fleet) first(of, duty string, count int) []*Entry {
	var candidates []*Entry
	for _, id := range f.ids {
		entry := f.records[id].entry
		if entry.DataCentre == of && callable(entry) && entry.State != StateSuspect {
			candidates = append(candidates, entry)
		}
	}
	weight := func(e *Entry) uint64 { return xxhash.Sum64String(e.ID + "\x00" + duty) }
	slices.SortFunc(candidates, func(a, b *Entry) int { return cmp.Compare(weight(a), weight(b)) })

	return candidates[:min(count, len(candidates))]
}

// dataCentres returns the names of all data centres with a living node, in order.
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

// relay returns a digest to each data centre for which this node is a relay.
func (f *Fleet) relay(now time.Time) []Action {
	var actions []Action
	for _, name := range f.dataCentres() {
		if name == f.self.DataCentre || !slices.Contains(f.relays(f.self.DataCentre, name), f.self) {
			continue
		}
		remote := f.pick(func(e *Entry) bool { return callable(e) && e.DataCentre == name })
		if there := f.relays(name, f.self.DataCentre); len(there) > 0 && !f.cutOff(name, now) {
			remote = there[f.random.IntN(len(there))]
		}
		if remote != nil {
			actions = append(actions, f.syncWith(now, remote.ID, remote.Control))
		}
	}

	return actions
}

func (f *Fleet) syncWith(now time.Time, id, address string) Action {
	return Action{Kind: ActionSync, Sent: now, To: id, Address: address, Digest: f.digest()}
}

func (f *Fleet) exchangeWith(now time.Time, entry *Entry) Action {
	message := f.message(now)
	if verdictRank(entry.State) > 0 {
		message.Updates = append(message.Updates, f.update(f.records[entry.ID], now))
	}

	return Action{Kind: ActionExchange, Sent: now, To: entry.ID, Address: entry.Control, Message: message}
}
