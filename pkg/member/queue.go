package member

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
)

// sendsPerDoubling is how many more times a change is sent for each doubling of the fleet's size.
const sendsPerDoubling = 2

// queue holds the changes that are still to be gossiped.
type queue struct {
	items []queuedChange
	// queuedIDs are the IDs of the items.
	queuedIDs map[string]struct{}
	// serial is the serial of the newest item; a higher one was added later.
	serial int
}

type queuedChange struct {
	id     string
	sent   int
	serial int
}

// add queues the entry as not yet sent.
func (q *queue) add(id string) {
	q.remove(id)
	if q.queuedIDs == nil {
		q.queuedIDs = map[string]struct{}{}
	}
	q.queuedIDs[id] = struct{}{}
	q.serial++
	q.items = append(q.items, queuedChange{id: id, serial: q.serial})
}

func (q *queue) remove(id string) {
	if _, found := q.queuedIDs[id]; !found {
		return
	}
	delete(q.queuedIDs, id)
	q.items = slices.DeleteFunc(q.items, func(item queuedChange) bool { return item.id == id })
}

func (q *queue) empty() bool {
	return len(q.items) == 0
}

func (q *queue) clone() queue {
	return queue{items: slices.Clone(q.items), queuedIDs: maps.Clone(q.queuedIDs), serial: q.serial}
}

// take returns up to count IDs for one message, the least often sent first and the newest first among equals. It drops changes that
// have been sent often enough for a fleet of the given size.
func (q *queue) take(count, fleet int) []string {
	if q.empty() {
		return nil
	}
	slices.SortFunc(q.items, func(a, b queuedChange) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.serial, a.serial))
	})
	ids := make([]string, min(count, len(q.items)))
	for i := range ids {
		ids[i] = q.items[i].id
		q.items[i].sent++
	}
	limit := sendsPerDoubling * bits.Len(uint(fleet))
	q.items = slices.DeleteFunc(q.items, func(item queuedChange) bool {
		if item.sent < limit {
			return false
		}
		delete(q.queuedIDs, item.id)

		return true
	})

	return ids
}
