package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Item is one call that asks for a slot.
type Item struct {
	// Rank orders the calls, the lowest goes first.
	Rank int
	// Deadline is when an answer is of no more use.
	Deadline time.Time
}

// Entry is an item on its way through the queue; the zero value is not usable.
type Entry struct {
	item    Item
	number  uint64
	arrived time.Time
	decided chan call.Reason
}

// Decided receives ReasonOK once the call may run, or the reason of its refusal; it receives exactly once.
func (t *Entry) Decided() <-chan call.Reason {
	return t.decided
}

// Limits bound the queue.
type Limits struct {
	// Slots is the number of calls that the server can run at once.
	Slots int
	// MaxRunning is the number of calls that do run at once, at most the slots.
	MaxRunning int
	// MaxWaiting is the number of calls that wait at most.
	MaxWaiting int
	// MaxWait is the longest time that a call waits.
	MaxWait time.Duration
	// MinRemaining is the time that a call must have left to be worth running.
	MinRemaining time.Duration
}

// Load is the state of a queue at one moment.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Queue holds the calls of one backend server; its owner serialises calls.
type Queue struct {
	limits  Limits
	running int
	number  uint64
	waiting []*Entry
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits}
}

// SetLimits takes new limits, under which calls that wait may begin.
func (q *Queue) SetLimits(now time.Time, limits Limits) {
	q.limits = limits
	q.advance(now)
}

// Load returns how many calls run and wait.
func (q *Queue) Load() Load {
	return Load{Running: q.running, Waiting: len(q.waiting), Slots: q.limits.Slots}
}

// Submit takes a call in; the ticket may be decided at once.
func (q *Queue) Submit(now time.Time, item Item) *Entry {
	q.number++
	t := &Entry{item: item, number: q.number, arrived: now, decided: make(chan call.Reason, 1)}
	switch {
	case item.Deadline.Sub(now) < q.limits.MinRemaining:
		t.decided <- call.ReasonHopeless
	case q.running < q.limits.MaxRunning && len(q.waiting) == 0:
		q.start(t)
	default:
		q.enqueue(t)
		q.advance(now)
	}

	return t
}

// Release gives the slot of a call that ran back.
func (q *Queue) Release(now time.Time) {
	q.running--
	q.advance(now)
}

// Remove takes a call out whose caller has left, and reports whether it still waited.
func (q *Queue) Remove(t *Entry) bool {
	place := slices.Index(q.waiting, t)
	if place < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, place, place+1)

	return true
}

// Expire refuses the calls that have waited too long.
func (q *Queue) Expire(now time.Time) {
	q.advance(now)
}

// RefuseAll refuses all calls that wait.
func (q *Queue) RefuseAll(reason call.Reason) {
	for _, t := range q.waiting {
		t.decided <- reason
	}
	q.waiting = q.waiting[:0]
}

func (q *Queue) start(t *Entry) {
	q.running++
	t.decided <- call.ReasonOK
}

// enqueue keeps the order; a full queue refuses its last call.
func (q *Queue) enqueue(t *Entry) {
	place, _ := slices.BinarySearchFunc(q.waiting, t, compare)
	q.waiting = slices.Insert(q.waiting, place, t)
	if len(q.waiting) <= q.limits.MaxWaiting {
		return
	}
	last := len(q.waiting) - 1
	q.waiting[last].decided <- call.ReasonQueueFull
	q.waiting = q.waiting[:last]
}

// compare puts the most important call first, and of equally important ones the one whose time ends first: calls end with the request
// that caused them, so it belongs to the work that has come furthest.
func compare(a, b *Entry) int {
	return cmp.Or(cmp.Compare(a.item.Rank, b.item.Rank), a.item.Deadline.Compare(b.item.Deadline), cmp.Compare(a.number, b.number))
}

// advance refuses what has waited too long, then fills the free slots.
func (q *Queue) advance(now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Entry) bool {
		switch {
		case t.item.Deadline.Sub(now) < q.limits.MinRemaining:
			t.decided <- call.ReasonHopeless
		case now.Sub(t.arrived) > q.limits.MaxWait:
			t.decided <- call.ReasonQueueTimeout
		default:
			return false
		}

		return true
	})
	for q.running < q.limits.MaxRunning && len(q.waiting) > 0 {
		next := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.start(next)
	}
}
