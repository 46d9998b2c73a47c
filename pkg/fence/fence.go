package fence

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Limits bounds the state that a Fence keeps.
type Limits struct {
	// AttemptRetention is how long an attempt is remembered. An attempt that was sent earlier is refused.
	AttemptRetention time.Duration
	// MinAttemptRetention is the time for which attempts are remembered even when the records are full. If evicting older ones
	// makes no room, new attempts are refused.
	MinAttemptRetention time.Duration
	// OnceRetention is how long a once operation is remembered. An operation that was created earlier is refused.
	OnceRetention time.Duration
	// MaxAttemptRecords is the number of remembered attempts from which on no further attempt is admitted.
	MaxAttemptRecords int
	// MaxOnceOperations bounds the once operations that are remembered.
	MaxOnceOperations int
	// MaxResponseBytes bounds the total size of the remembered responses. The oldest are dropped first, while their operations
	// stay remembered.
	MaxResponseBytes int64
}

// DefaultLimits returns limits that keep a Fence below 10 MB of memory.
func DefaultLimits() Limits {
	return Limits{
		AttemptRetention:    5 * time.Second,
		MinAttemptRetention: time.Second,
		OnceRetention:       10 * time.Minute,
		MaxAttemptRecords:   30_000,
		MaxOnceOperations:   15_000,
		MaxResponseBytes:    2 << 20,
	}
}

const (
	bucketsPerRetention = 10
	// maxFencedRatio times MaxAttemptRecords is the number of settled attempts from which on no further attempt is fenced.
	maxFencedRatio = 2
)

// Fence tracks the attempts at one node incarnation, that is one start of the node process. Type parameter A is the response
// type. A Fence is not safe for concurrent use.
type Fence[A any] struct {
	incarnation uint64
	limits      Limits
	now         time.Time
	// active holds the queued and running attempts, settled the states of the done and fenced ones.
	active         map[key]*record
	settled        *timeBuckets[key, State]
	onceOperations *timeBuckets[call.ID, *operation[A]]
	// withResponse holds the operations with a remembered response, oldest first; responseBytes is the size of these responses.
	withResponse  []*operation[A]
	responseBytes int64
}

// record is a queued or running attempt.
type record struct {
	attempt Attempt
	state   State
}

// operation is the state of a once operation over all its attempts.
type operation[A any] struct {
	// ownerAttempt is the number of the attempt that was admitted last.
	ownerAttempt int
	state        State
	// retired says that no attempt will ever be admitted.
	retired      bool
	response     *A
	responseSize int64
}

// New returns an empty Fence for a node incarnation.
func New[A any](incarnation uint64, limits Limits) *Fence[A] {
	return &Fence[A]{
		incarnation:    incarnation,
		limits:         limits,
		active:         map[key]*record{},
		settled:        newTimeBuckets[key, State](limits.AttemptRetention, limits.AttemptRetention/bucketsPerRetention),
		onceOperations: newTimeBuckets[call.ID, *operation[A]](limits.OnceRetention, limits.OnceRetention/bucketsPerRetention),
	}
}

// Admit queues an attempt. If it cannot be admitted, the verdict gives the reason and the outcome as far as it is known.
func (f *Fence[A]) Admit(now time.Time, a Attempt) Verdict[A] {
	f.advanceClock(now)
	if a.Incarnation == 0 && !a.Once {
		a.Incarnation = f.incarnation
	}
	if v, found := f.existingVerdict(a); found {
		return v
	}
	if f.atCapacity(a) {
		return f.fenceAttempt(a, call.ReasonBufferFull)
	}
	if a.Once {
		f.addOnceOperation(a)
	}
	r := &record{attempt: a}
	r.state.fire(eventArrive)
	f.active[a.key()] = r

	return Verdict[A]{State: r.state, Outcome: call.OutcomeUnknown, Reason: call.ReasonOK}
}

// ExtendRetention raises the retention of once operations to onceRetention. A shorter value than the current one has no effect.
func (f *Fence[A]) ExtendRetention(now time.Time, onceRetention time.Duration) {
	f.advanceClock(now)
	f.onceOperations.extendRetention(f.now, onceRetention)
}

// existingVerdict returns the verdict on an attempt that is already known or too old, false if it may be admitted.
func (f *Fence[A]) existingVerdict(a Attempt) (Verdict[A], bool) {
	if a.Incarnation != f.incarnation {
		return newVerdict[A](StateUnseen, call.OutcomeUnknown, call.ReasonWrongIncarnation), true
	}
	if v, found := f.onceVerdict(a); found {
		return v, true
	}
	if r, found := f.active[a.key()]; found {
		return verdictInState[A](r.state, call.ReasonDuplicate, nil), true
	}
	if !f.settled.retains(f.now, a.Issued) {
		return newVerdict[A](StateUnseen, call.OutcomeUnknown, call.ReasonStale), true
	}
	if state, found := f.settled.get(a.Issued, a.key()); found {
		return verdictInState[A](state, call.ReasonDuplicate, nil), true
	}
	if a.Once && !f.onceOperations.retains(f.now, a.Opened) {
		return newVerdict[A](StateUnseen, call.OutcomeUnknown, call.ReasonTicketExpired), true
	}

	return Verdict[A]{}, false
}

// onceVerdict returns the verdict on a once operation that is retired, or that an attempt has queued, started or finished.
func (f *Fence[A]) onceVerdict(a Attempt) (Verdict[A], bool) {
	if !a.Once {
		return Verdict[A]{}, false
	}
	o, found := f.onceOperations.get(a.Opened, a.Op)
	if !found || (o.state == StateFenced && !o.retired) {
		return Verdict[A]{}, false
	}

	reason := call.ReasonDuplicate
	if o.retired {
		reason = call.ReasonFenced
	}

	return verdictInState(o.state, reason, o.response), true
}

// atCapacity evicts old records if there is no room for the attempt, and reports whether there is still none.
func (f *Fence[A]) atCapacity(a Attempt) bool {
	if a.Once && f.onceOperations.size >= f.limits.MaxOnceOperations {
		return true
	}

	for len(f.active)+f.settled.size >= f.limits.MaxAttemptRecords {
		if !f.settled.evictOldest(f.now, f.limits.MinAttemptRetention) {
			return true
		}
	}

	return false
}

// fenceAttempt fences an attempt. If it cannot be recorded, the outcome is unknown, because a later copy of the attempt could
// still be admitted.
func (f *Fence[A]) fenceAttempt(a Attempt, reason call.Reason) Verdict[A] {
	if f.settled.size >= maxFencedRatio*f.limits.MaxAttemptRecords || !f.settled.retains(f.now, a.Issued) {
		return newVerdict[A](StateUnseen, call.OutcomeUnknown, reason)
	}
	state := StateUnseen
	state.fire(eventFence)
	f.settled.put(a.Issued, a.key(), state)

	return newVerdict[A](state, call.OutcomeNotRun, reason)
}

func (f *Fence[A]) addOnceOperation(a Attempt) {
	o := &operation[A]{ownerAttempt: a.Number}
	o.state.fire(eventArrive)
	f.onceOperations.put(a.Opened, a.Op, o)
}

// Start moves a queued attempt to running. It returns false if the attempt was fenced in the meantime and must not run.
func (f *Fence[A]) Start(a Attempt) bool {
	r, found := f.active[a.key()]
	if !found || !r.state.fire(eventStart) {
		return false
	}
	f.updateOnceOperation(r, eventStart)

	return true
}

// Refuse fences an admitted attempt that is certain not to have run on the backend server.
func (f *Fence[A]) Refuse(a Attempt) {
	r, found := f.active[a.key()]
	if !found || !r.state.fire(eventRefuse) {
		return
	}
	f.updateOnceOperation(r, eventRefuse)
	f.moveToSettled(r)
}

// Finish marks a running attempt as done, and remembers the response of a once operation, whose size is given in bytes.
func (f *Fence[A]) Finish(a Attempt, response *A, size int64) {
	r, found := f.active[a.key()]
	if !found || !r.state.fire(eventFinish) {
		return
	}
	if o := f.updateOnceOperation(r, eventFinish); o != nil && response != nil {
		f.retainResponse(o, response, size)
	}
	f.moveToSettled(r)
}

// retainResponse remembers the response, and drops the oldest ones while their total size exceeds MaxResponseBytes.
func (f *Fence[A]) retainResponse(o *operation[A], response *A, size int64) {
	o.response = response
	o.responseSize = size
	f.responseBytes += size
	f.withResponse = append(f.withResponse, o)
	for len(f.withResponse) > 0 && (f.responseBytes > f.limits.MaxResponseBytes || f.withResponse[0].response == nil) {
		f.dropResponse(f.withResponse[0])
		f.withResponse = f.withResponse[1:]
	}
}

func (f *Fence[A]) dropResponse(o *operation[A]) {
	f.responseBytes -= o.responseSize
	o.response, o.responseSize = nil, 0
}

// updateOnceOperation applies the event to the once operation that the attempt owns, and returns it, nil if there is none.
func (f *Fence[A]) updateOnceOperation(r *record, e event) *operation[A] {
	if !r.attempt.Once {
		return nil
	}
	o, found := f.onceOperations.get(r.attempt.Opened, r.attempt.Op)
	if !found || o.ownerAttempt != r.attempt.Number {
		return nil
	}
	o.state.fire(e)

	return o
}

func (f *Fence[A]) moveToSettled(r *record) {
	delete(f.active, r.attempt.key())
	if f.settled.retains(f.now, r.attempt.Issued) {
		f.settled.put(r.attempt.Issued, r.attempt.key(), r.state)
	}
}

// advanceClock sets the clock, never back, and evicts expired records once per bucket.
func (f *Fence[A]) advanceClock(now time.Time) {
	if !now.After(f.now) {
		return
	}
	bucketChanged := f.settled.bucket(now) != f.settled.bucket(f.now)
	f.now = now
	if !bucketChanged {
		return
	}
	f.settled.expire(now, func(key, State) {})
	f.onceOperations.expire(now, f.expireOperation)
}

// expireOperation releases the response of an evicted once operation. Later attempts of it are refused because of their age.
func (f *Fence[A]) expireOperation(_ call.ID, o *operation[A]) {
	f.dropResponse(o)
}
