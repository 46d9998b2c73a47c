package fatal

import (
	"slices"
	"time"
)

const (
	// crashesUntilKnown is the number of backend server processes that must end while they run equal requests, none of which got a response
	// since the first, until these are kept from the servers.
	crashesUntilKnown = 3
	// QuarantineTime is how long they are kept from them after the last crash. One more crash then renews it.
	QuarantineTime = 10 * time.Minute
	// suspicionTime is how long a crash counts.
	suspicionTime = 10 * time.Minute
	// maxEntries bounds the requests that a table remembers.
	maxEntries = 4096
)

// Verdict says whether a request may run.
type Verdict uint8

// Verdicts on a request.
const (
	// VerdictClean allows a request to run.
	VerdictClean Verdict = iota
	// VerdictSuspect allows a request to run as the only suspect at a server, so that a crash tells which request causes it.
	VerdictSuspect
	// VerdictKnown keeps a request from the servers.
	VerdictKnown
)

// Entry is what is known of equal requests.
type Entry struct {
	ID ID
	// Processes are the backend server processes that ended while they ran such a request, at most crashesUntilKnown.
	Processes []string
	// Age is the time since the last of these crashes.
	Age time.Duration
}

// Known reports whether the requests are kept from the servers.
func (e Entry) Known() bool {
	return len(e.Processes) >= crashesUntilKnown && e.Age < QuarantineTime
}

// Repeated reports whether more than one process ended while it ran such a request.
func (e Entry) Repeated() bool {
	return len(e.Processes) > 1
}

// Table remembers the requests that ran when backend servers crashed. It is not safe for concurrent use.
type Table struct {
	entries map[ID]*entry
}

type entry struct {
	processes []string
	crashedAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[ID]*entry{}}
}

// Empty reports whether all requests are clean.
func (t *Table) Empty() bool {
	return len(t.entries) == 0
}

// RecordCrash adds the end of a process that was running the requests, and returns the entries of those that are known as a result.
func (t *Table) RecordCrash(now time.Time, process string, requests []ID) []Entry {
	var known []Entry
	for _, id := range requests {
		before := t.Verdict(now, id)
		t.add(now, id, process)
		if after := t.export(now, id); before != VerdictKnown && after.Known() {
			known = append(known, after)
		}
	}

	return known
}

// add adds a crash to the entry of a request.
func (t *Table) add(now time.Time, id ID, process string) {
	found := t.entries[id]
	if found == nil {
		t.makeRoom()
		found = &entry{}
		t.entries[id] = found
	}
	if slices.Contains(found.processes, process) {
		return
	}
	// a table that has expired one of three crashes keeps the later ones
	if len(found.processes) >= crashesUntilKnown {
		found.processes = found.processes[1:]
	}
	found.processes = append(found.processes, process)
	found.crashedAt = now
}

// makeRoom removes the entry with the fewest crashes, the oldest among equals, if the table is full.
func (t *Table) makeRoom() {
	if len(t.entries) < maxEntries {
		return
	}
	var victim ID
	var weakest *entry
	for id, candidate := range t.entries {
		if weakest == nil || len(candidate.processes) < len(weakest.processes) ||
			len(candidate.processes) == len(weakest.processes) && candidate.crashedAt.Before(weakest.crashedAt) {
			victim, weakest = id, candidate
		}
	}
	delete(t.entries, victim)
}

// RecordResponse clears a request that a server has answered, and reports whether it was a suspect or known.
func (t *Table) RecordResponse(id ID) bool {
	if _, found := t.entries[id]; !found {
		return false
	}
	delete(t.entries, id)

	return true
}

// Verdict says whether a request may run.
func (t *Table) Verdict(now time.Time, id ID) Verdict {
	found := t.entries[id]
	switch {
	case found == nil:
		return VerdictClean
	case t.export(now, id).Known():
		return VerdictKnown
	}

	return VerdictSuspect
}

// Expire forgets crashes that no longer count. A request that was known stays a suspect for as long again.
func (t *Table) Expire(now time.Time) {
	for id, found := range t.entries {
		limit := suspicionTime
		if len(found.processes) >= crashesUntilKnown {
			limit += QuarantineTime
		}
		if now.Sub(found.crashedAt) > limit {
			delete(t.entries, id)
		}
	}
}

// Entries returns the entries with more than one crash.
func (t *Table) Entries(now time.Time) []Entry {
	var entries []Entry
	for id := range t.entries {
		if found := t.export(now, id); found.Repeated() {
			entries = append(entries, found)
		}
	}

	return entries
}

// Merge adds the crashes of entries from another table.
func (t *Table) Merge(now time.Time, entries []Entry) {
	for _, other := range entries[:min(len(entries), maxEntries)] {
		if other.Age < 0 || other.Age > suspicionTime+QuarantineTime || len(other.Processes) > crashesUntilKnown {
			continue
		}
		at := now.Add(-other.Age)
		before := t.entries[other.ID]
		if before != nil && before.crashedAt.After(at) {
			at = before.crashedAt
		}
		for _, process := range other.Processes {
			t.add(now, other.ID, process)
		}
		if merged := t.entries[other.ID]; merged != nil {
			merged.crashedAt = at
		}
	}
}

// export returns the entry of a request, which must exist.
func (t *Table) export(now time.Time, id ID) Entry {
	found := t.entries[id]

	return Entry{ID: id, Processes: slices.Clone(found.processes), Age: max(now.Sub(found.crashedAt), 0)}
}
