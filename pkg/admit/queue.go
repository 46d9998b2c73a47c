package admit

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// bandShift divides a rank into its band; a class has eight bands.
const bandShift = 5

// queuedItem is an item in the queue.
type queuedItem struct {
	item       Item
	enqueuedAt time.Time
	// waitUntil is the time at which the item is refused if it has not started.
	waitUntil time.Time
}

// callerKey identifies a caller within a class.
type callerKey struct {
	class  call.Class
	caller string
}

func (i *Item) key() callerKey {
	return callerKey{class: i.Rank.Class(), caller: i.Caller}
}

// occupancy counts the items that run or wait, by class and by caller within the class.
type occupancy struct {
	perCaller map[callerKey]int
	perClass  [call.ClassVital + 1]int
	// activeCallers is the number of callers of the class that have at least one item.
	activeCallers [call.ClassVital + 1]int
}

func newOccupancy() *occupancy {
	return &occupancy{perCaller: map[callerKey]int{}}
}

func (o *occupancy) add(key callerKey) {
	if o.perCaller[key] == 0 {
		o.activeCallers[key.class]++
	}
	o.perCaller[key]++
	o.perClass[key.class]++
}

func (o *occupancy) remove(key callerKey) {
	o.perCaller[key]--
	o.perClass[key.class]--
	if o.perCaller[key] == 0 {
		delete(o.perCaller, key)
		o.activeCallers[key.class]--
	}
}

// overFairShare reports whether the caller has more than an equal share of the items of its class, with a tolerance of one item.
func (o *occupancy) overFairShare(key callerKey) bool {
	active := o.activeCallers[key.class]

	return active > 1 && o.perCaller[key]*active > o.perClass[key.class]+active
}

// queue holds the waiting items in no particular order; the order is computed when an item is taken.
type queue struct {
	items     []queuedItem
	occupancy *occupancy
}

// runsBefore reports whether a runs before b: the higher class first, then callers within their fair share, then the oldest
// item. If newestFirst is set, the higher band runs first and within it the newest item. Under lasting overload some items
// then meet their deadline, whereas oldest-first would start all of them too late.
func (q *queue) runsBefore(a, b *queuedItem, newestFirst bool) bool {
	if x, y := a.item.Rank.Class(), b.item.Rank.Class(); x != y {
		return x > y
	}
	if x, y := q.occupancy.overFairShare(a.item.key()), q.occupancy.overFairShare(b.item.key()); x != y {
		return y
	}
	if !newestFirst {
		return a.enqueuedAt.Before(b.enqueuedAt)
	}
	if x, y := a.item.Rank>>bandShift, b.item.Rank>>bandShift; x != y {
		return x > y
	}

	return a.enqueuedAt.After(b.enqueuedAt)
}

// newestFirst reports whether some item has waited for more than half of its allowed time.
func (q *queue) newestFirst(now time.Time) bool {
	for i := range q.items {
		w := &q.items[i]
		if now.Sub(w.enqueuedAt)*2 > w.waitUntil.Sub(w.enqueuedAt) {
			return true
		}
	}

	return false
}

// next returns the index of the item to run next among those for which mayRun returns true, -1 if there is none.
func (q *queue) next(now time.Time, mayRun func(*Item) bool) int {
	best := -1
	newestFirst := q.newestFirst(now)
	for i := range q.items {
		if !mayRun(&q.items[i].item) {
			continue
		}
		if best < 0 || q.runsBefore(&q.items[i], &q.items[best], newestFirst) {
			best = i
		}
	}

	return best
}

// victim returns the index of the item to evict from a full queue, the one that would run last.
func (q *queue) victim(now time.Time) int {
	worst := 0
	newestFirst := q.newestFirst(now)
	for i := 1; i < len(q.items); i++ {
		if q.runsBefore(&q.items[worst], &q.items[i], newestFirst) {
			worst = i
		}
	}

	return worst
}

// countAhead returns the number of items of the same or a higher class.
func (q *queue) countAhead(class call.Class) int {
	count := 0
	for i := range q.items {
		if q.items[i].item.Rank.Class() >= class {
			count++
		}
	}

	return count
}

// remove removes and returns the item at index i; it does not preserve the order of the others.
func (q *queue) remove(i int) queuedItem {
	removed := q.items[i]
	last := len(q.items) - 1
	q.items[i] = q.items[last]
	q.items[last] = queuedItem{}
	q.items = q.items[:last]

	return removed
}
