package queue

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/rate"
)

// Item is one call that asks for a slot.
type Item struct {
	// Rank is the importance of the call; calls of lower rank run first.
	Rank int
	// Deadline is the time after which a response is of no use.
	Deadline time.Time
}

// Entry is an item that was submitted to the queue; the zero value is not usable.
type Entry struct {
	item        Item
	sequence    uint64
	submittedAt time.Time
	decided     chan call.Reason
}

// Decided returns a channel that receives one value: ReasonOK once the call may run, or the reason for its refusal. It receives nothing
// if the call is removed from the queue.
func (e *Entry) Decided() <-chan call.Reason {
	return e.decided
}

// Limits are the bounds of a queue.
type Limits struct {
	// Slots is the number of calls that the server can run at once.
	Slots int
	// MaxRunning is the maximum number of calls that the queue lets run at once; it must not exceed Slots.
	MaxRunning int
	// MaxWaiting is the maximum number of waiting calls.
	MaxWaiting int
	// MaxWait is the maximum time that a call waits.
	MaxWait time.Duration
	// MinRemaining is the minimum time to its deadline that a call needs to be started.
	MinRemaining time.Duration
}

// Load is the number of calls in a queue at one point in time.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Queue holds the running and waiting calls of one backend server. It is not safe for concurrent use.
type Queue struct {
	limits   Limits
	limiter  *rate.Limiter
	running  int
	sequence uint64
	waiting  []*Entry
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, limiter: rate.NewLimiter()}
}

// SetLimits replaces the limits and starts waiting calls for which there are slots now.
func (q *Queue) SetLimits(now time.Time, limits Limits) {
	q.limits = limits
	q.schedule(now)
}

// SetRateLimit replaces the server's limit on calls per second, and starts waiting calls that the new one allows.
func (q *Queue) SetRateLimit(now time.Time, limit rate.Limit) {
	q.limiter.SetLimit(now, limit)
	q.schedule(now)
}

// NextStart returns the time until a waiting call may start under the rate limit, and false if none waits for that.
func (q *Queue) NextStart(now time.Time) (time.Duration, bool) {
	if len(q.waiting) == 0 || q.running >= q.limits.MaxRunning {
		return 0, false
	}

	return q.limiter.Wait(now), true
}

// Load returns the numbers of running and waiting calls and of slots.
func (q *Queue) Load() Load {
	return Load{Running: q.running, Waiting: len(q.waiting), Slots: q.limits.Slots}
}

// BindingLoad returns the load relative to what binds the server: its slots, or the calls of one second under its rate limit, which then
// stand for the slots.
func (q *Queue) BindingLoad(now time.Time) Load {
	load := q.Load()
	if !q.limiter.Limit().Stated() || load.Slots <= 0 {
		return load
	}
	allowed := int(math.Round(min(q.limiter.Allowed(rateSpan), float64(load.Slots))))
	limited := Load{Running: int(math.Round(q.limiter.Utilisation(now) * float64(allowed))), Waiting: load.Waiting, Slots: allowed}
	if limited.Utilisation() < load.Utilisation() {
		return load
	}

	return limited
}

// rateSpan is the time whose calls stand for the slots of a server that is bound by its rate limit.
const rateSpan = time.Second

// Utilisation returns the number of running and waiting calls per slot, zero without slots.
func (l Load) Utilisation() float64 {
	if l.Slots <= 0 {
		return 0
	}

	return float64(l.Running+l.Waiting) / float64(l.Slots)
}

// RateLimit describes the server's rate limit and how much of it the calls ask for, for the decision log; empty without a limit.
func (q *Queue) RateLimit(now time.Time) string {
	if !q.limiter.Limit().Stated() {
		return ""
	}

	return fmt.Sprintf("rate limit %s, %.2f of it asked for", q.limiter.Limit(), q.limiter.Utilisation(now))
}

// Submit adds a call, which may be started or refused at once.
func (q *Queue) Submit(now time.Time, item Item) *Entry {
	q.sequence++
	e := &Entry{item: item, sequence: q.sequence, submittedAt: now, decided: make(chan call.Reason, 1)}
	if item.Deadline.Sub(now) < q.limits.MinRemaining {
		e.decided <- call.ReasonHopeless

		return e
	}
	q.limiter.Want(now)
	if q.running < q.limits.MaxRunning && len(q.waiting) == 0 && q.limiter.Take(now) {
		q.start(e)

		return e
	}
	q.enqueue(e)
	q.schedule(now)

	return e
}

// Release frees the slot of a call that has finished.
func (q *Queue) Release(now time.Time) {
	q.running--
	q.schedule(now)
}

// Remove removes a waiting call, for example because its caller has disconnected, and reports whether it was still waiting.
func (q *Queue) Remove(e *Entry) bool {
	index := slices.Index(q.waiting, e)
	if index < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, index, index+1)

	return true
}

// Expire refuses the calls that have waited too long or cannot meet their deadline any more.
func (q *Queue) Expire(now time.Time) {
	q.schedule(now)
}

// RefuseAll refuses all waiting calls.
func (q *Queue) RefuseAll(reason call.Reason) {
	for _, e := range q.waiting {
		e.decided <- reason
	}
	q.waiting = q.waiting[:0]
}

func (q *Queue) start(e *Entry) {
	q.running++
	e.decided <- call.ReasonOK
}

// enqueue inserts the entry in order. If the queue is full, the last entry is refused.
func (q *Queue) enqueue(e *Entry) {
	index, _ := slices.BinarySearchFunc(q.waiting, e, compare)
	q.waiting = slices.Insert(q.waiting, index, e)
	maxWaiting, reason := q.limits.MaxWaiting, call.ReasonQueueFull
	if allowed := q.limiter.Allowed(q.limits.MaxWait); allowed < float64(maxWaiting) {
		maxWaiting, reason = int(allowed), call.ReasonRateLimited
	}
	if len(q.waiting) <= maxWaiting {
		return
	}
	last := len(q.waiting) - 1
	q.waiting[last].decided <- reason
	q.waiting = q.waiting[:last]
}

// compare orders entries by rank, then by deadline, then by submission. A call has the deadline of the request that caused it, so
// among calls of one rank the earliest deadline belongs to the work that has progressed furthest.
func compare(a, b *Entry) int {
	return cmp.Or(cmp.Compare(a.item.Rank, b.item.Rank), a.item.Deadline.Compare(b.item.Deadline), cmp.Compare(a.sequence, b.sequence))
}

// schedule refuses the waiting calls that have expired, then starts the next ones while there are free slots.
func (q *Queue) schedule(now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(e *Entry) bool {
		switch {
		case e.item.Deadline.Sub(now) < q.limits.MinRemaining:
			e.decided <- call.ReasonHopeless
		case now.Sub(e.submittedAt) > q.limits.MaxWait:
			e.decided <- call.ReasonQueueTimeout
		default:
			return false
		}

		return true
	})
	for q.running < q.limits.MaxRunning && len(q.waiting) > 0 && q.limiter.Take(now) {
		next := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.start(next)
	}
}
