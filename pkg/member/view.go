package member

import (
	"slices"
	"time"
)

// Entries returns all entries sorted by ID. Live nodes of data centres that this node cannot reach are returned as suspect.
func (f *Fleet) Entries(now time.Time) []Entry {
	entries := make([]Entry, 0, len(f.ids))
	for _, id := range f.ids {
		entry := *f.records[id].entry
		if id != f.self.ID && alive(&entry) && f.unreachable(entry.DataCentre, now) {
			entry.State = StateSuspect
		}
		entries = append(entries, entry)
	}

	return entries
}

// UnreachableDataCentre is a data centre that this node cannot reach.
type UnreachableDataCentre struct {
	DataCentre string
	Since      time.Time
}

// UnreachableDataCentres returns the data centres that this node cannot reach, sorted by name.
func (f *Fleet) UnreachableDataCentres(now time.Time) []UnreachableDataCentre {
	var unreachable []UnreachableDataCentre
	for name, state := range f.reachabilities {
		if f.unreachable(name, now) {
			unreachable = append(unreachable, UnreachableDataCentre{DataCentre: name, Since: state.failingSince})
		}
	}
	slices.SortFunc(unreachable, func(a, b UnreachableDataCentre) int {
		if a.DataCentre < b.DataCentre {
			return -1
		}

		return 1
	})

	return unreachable
}

// Find returns the entry of a node, if there is one.
func (f *Fleet) Find(id string) (Entry, bool) {
	rec, found := f.records[id]
	if !found {
		return Entry{}, false
	}

	return *rec.entry, true
}
