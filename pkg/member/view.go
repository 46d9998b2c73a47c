package member

import (
	"slices"
	"time"
)

// Entries returns all entries in the order of their IDs, those of data centres that this node cannot reach as suspect.
func (f *Fleet) Entries(now time.Time) []Entry {
	entries := make([]Entry, 0, len(f.ids))
	for _, id := range f.ids {
		entry := *f.records[id].entry
		if id != f.self.ID && alive(&entry) && f.cutOff(entry.DataCentre, now) {
			entry.State = StateSuspect
		}
		entries = append(entries, entry)
	}

	return entries
}

// UnreachableDataCentre is a data centre that a node cannot reach.
type UnreachableDataCentre struct {
	DataCentre string
	Since      time.Time
}

// UnreachableDataCentres returns the data centres in which nobody answers this node, in order of their names.
func (f *Fleet) UnreachableDataCentres(now time.Time) []UnreachableDataCentre {
	var cuts []UnreachableDataCentre
	for name, state := range f.reached {
		if f.cutOff(name, now) {
			cuts = append(cuts, UnreachableDataCentre{DataCentre: name, Since: state.failing})
		}
	}
	slices.SortFunc(cuts, func(a, b UnreachableDataCentre) int {
		if a.DataCentre < b.DataCentre {
			return -1
		}

		return 1
	})

	return cuts
}

// Find returns what is known of a node.
func (f *Fleet) Find(id string) (Entry, bool) {
	known, found := f.records[id]
	if !found {
		return Entry{}, false
	}

	return *known.entry, true
}
