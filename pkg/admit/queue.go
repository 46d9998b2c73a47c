package admit

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// bandShift groups the ranks of a class into eight bands.
const bandShift = 5

// waiting is an item in the queue.
type waiting struct {
	item  Item
	since time.Time
	// until is when the item has waited long enough.
	until time.Time
}

// callerKey is a caller within a class.
type callerKey struct {
	class  call.Class
	caller string
}

func (i *Item) key() callerKey {
	return callerKey{class: i.Rank.Class(), caller: i.Caller}
}

// occupancy counts for each class the calls that run or wait, and for each caller its part of them.
type occupancy struct {
	callers map[callerKey]int
	total   [call.ClassVital + 1]int
	active  [call.ClassVital + 1]int
}

func newOccupancy() *occupancy {
	return &occupancy{callers: map[callerKey]int{}}
}

func (c *occupancy) add(key callerKey) {
	if c.callers[key] == 0 {
		c.active[key.class]++
	}
	c.callers[key]++
	c.total[key.class]++
}

func (c *occupancy) remove(key callerKey) {
	c.callers[key]--
	c.total[key.class]--
	if c.callers[key] == 0 {
		delete(c.callers, key)
		c.active[key.class]--
	}
}

// over reports whether the caller has more than an even part of its class.
func (c *occupancy) over(key callerKey) bool {
	active := c.active[key.class]

	return active > 1 && c.callers[key]*active > c.total[key.class]+active
}

// queue holds the items that wait.
type queue struct {
	items     []waiting
	occupancy *occupancy
}

// before reports whether a runs before b: class, callers within their part, and then the oldest first,
// or in an old queue the higher band and within it the newest, so that some are in time in place of none.
func (q *queue) before(a, b *waiting, old bool) bool {
	if x, y := a.item.Rank.Class(), b.item.Rank.Class(); x != y {
		return x > y
	}
	if x, y := q.occupancy.over(a.item.key()), q.occupancy.over(b.item.key()); x != y {
		return y
	}
	if !old {
		return a.since.Before(b.since)
	}
	if x, y := a.item.Rank>>bandShift, b.item.Rank>>bandShift; x != y {
		return x > y
	}

	return a.since.After(b.since)
}

// old reports whether some item has waited for more than half of its time.
func (q *queue) old(now time.Time) bool {
	for i := range q.items {
		w := &q.items[i]
		if now.Sub(w.since)*2 > w.until.Sub(w.since) {
			return true
		}
	}

	return false
}

// next returns the index of the item to run next among those that may, -1 for none.
func (q *queue) next(now time.Time, may func(*Item) bool) int {
	best := -1
	old := q.old(now)
	for i := range q.items {
		if !may(&q.items[i].item) {
			continue
		}
		if best < 0 || q.before(&q.items[i], &q.items[best], old) {
			best = i
		}
	}

	return best
}

// last returns the index of the item that is refused first.
func (q *queue) last(now time.Time) int {
	worst := 0
	old := q.old(now)
	for i := 1; i < len(q.items); i++ {
		if q.before(&q.items[worst], &q.items[i], old) {
			worst = i
		}
	}

	return worst
}

// ahead counts the items that are at least as important.
func (q *queue) ahead(class call.Class) int {
	count := 0
	for i := range q.items {
		if q.items[i].item.Rank.Class() >= class {
			count++
		}
	}

	return count
}

func (q *queue) take(i int) waiting {
	taken := q.items[i]
	end := len(q.items) - 1
	q.items[i] = q.items[end]
	q.items[end] = waiting{}
	q.items = q.items[:end]

	return taken
}
