package member

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
)

// sendsPerDoubling times the logarithm of the fleet's size is how often a node passes one change on.
const sendsPerDoubling = 2

// queue holds the changes that a node still passes on.
type queue struct {
	items []queued
	// held are the IDs of the items.
	held map[string]struct{}
	// serial numbers the items.
	serial int
}

type queued struct {
	id     string
	sent   int
	serial int
}

// add makes the entry one that was not yet sent.
func (q *queue) add(id string) {
	q.remove(id)
	if q.held == nil {
		q.held = map[string]struct{}{}
	}
	q.held[id] = struct{}{}
	q.serial++
	q.items = append(q.items, queued{id: id, serial: q.serial})
}

func (q *queue) remove(id string) {
	if _, found := q.held[id]; !found {
		return
	}
	delete(q.held, id)
	q.items = slices.DeleteFunc(q.items, func(item queued) bool { return item.id == id })
}

func (q *queue) empty() bool {
	return len(q.items) == 0
}

func (q *queue) clone() queue {
	return queue{items: slices.Clone(q.items), held: maps.Clone(q.held), serial: q.serial}
}

// take returns up to count IDs for one message, those sent least often and then the newest first, and drops those that were sent often enough in a
// fleet of that size.
func (q *queue) take(count, fleet int) []string {
	if q.empty() {
		return nil
	}
	slices.SortFunc(q.items, func(a, b queued) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.serial, a.serial))
	})
	ids := make([]string, min(count, len(q.items)))
	for i := range ids {
		ids[i] = q.items[i].id
		q.items[i].sent++
	}
	limit := sendsPerDoubling * bits.Len(uint(fleet))
	q.items = slices.DeleteFunc(q.items, func(item queued) bool {
		if item.sent < limit {
			return false
		}
		delete(q.held, item.id)

		return true
	})

	return ids
}
