package fence

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Limits bound what a fence remembers.
type Limits struct {
	// AttemptRetention is how long an attempt is remembered; one issued earlier is refused.
	AttemptRetention time.Duration
	// MinAttemptRetention is what remains of it when the records are full, before attempts are refused.
	MinAttemptRetention time.Duration
	// OnceRetention is how long a once operation is remembered; one opened earlier is refused.
	OnceRetention time.Duration
	// MaxAttemptRecords is the most attempts remembered.
	MaxAttemptRecords int
	// MaxOnceOperations is the most once operations remembered.
	MaxOnceOperations int
	// MaxResponseBytes is the most bytes of remembered answers; the oldest are dropped before the operations they belong to.
	MaxResponseBytes int64
}

// DefaultLimits returns limits that keep a fence under ten megabytes.
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
	bucketsPerSpan = 10
	// fencedShare is how many times the ordinary records the fenced ones may fill.
	fencedShare = 2
)

// Fence holds the attempts of one node incarnation; its owner serialises the calls.
type Fence[A any] struct {
	incarnation uint64
	limits      Limits
	now         time.Time
	live        map[key]*record
	past        *memory[key, State]
	operations  *memory[call.ID, *operation[A]]
	// kept holds the operations with answers, oldest first, and bytes the size of the answers.
	kept  []*operation[A]
	bytes int64
}

type record struct {
	attempt Attempt
	state   State
}

// operation is the state of a once operation over all its attempts.
type operation[A any] struct {
	owner int
	state State
	// retired says that no attempt will ever be admitted.
	retired bool
	answer  *A
	size    int64
}

// New returns the fence of a node incarnation that has seen nothing yet.
func New[A any](incarnation uint64, limits Limits) *Fence[A] {
	return &Fence[A]{
		incarnation: incarnation,
		limits:      limits,
		live:        map[key]*record{},
		past:        newMemory[key, State](limits.AttemptRetention, limits.AttemptRetention/bucketsPerSpan),
		operations:  newMemory[call.ID, *operation[A]](limits.OnceRetention, limits.OnceRetention/bucketsPerSpan),
	}
}

// Admit admits an attempt to the queue, or says what is known of it instead.
func (f *Fence[A]) Admit(now time.Time, a Attempt) Verdict[A] {
	f.advance(now)
	if a.Incarnation == 0 && !a.Once {
		a.Incarnation = f.incarnation
	}
	if v, settled := f.settled(a); settled {
		return v
	}
	if f.full(a) {
		return f.settle(a, call.ReasonBufferFull)
	}
	if a.Once {
		f.own(a)
	}
	r := &record{attempt: a}
	r.state.fire(eventArrive)
	f.live[a.key()] = r

	return Verdict[A]{State: r.state, Outcome: call.OutcomeUnknown, Reason: call.ReasonOK}
}

// ExtendRetention remembers once operations for at least that long from now on; it never goes back.
func (f *Fence[A]) ExtendRetention(now time.Time, answerMemory time.Duration) {
	f.advance(now)
	f.operations.widen(f.now, answerMemory)
}

// settled gives the verdict on an attempt that cannot be admitted any more.
func (f *Fence[A]) settled(a Attempt) (Verdict[A], bool) {
	if a.Incarnation != f.incarnation {
		return refused[A](StateUnseen, call.OutcomeUnknown, call.ReasonWrongIncarnation), true
	}
	if v, known := f.operationVerdict(a); known {
		return v, true
	}
	if r, alive := f.live[a.key()]; alive {
		return verdictOf[A](r.state, call.ReasonDuplicate, nil), true
	}
	if !f.past.covers(f.now, a.Issued) {
		return refused[A](StateUnseen, call.OutcomeUnknown, call.ReasonStale), true
	}
	if state, seen := f.past.get(a.Issued, a.key()); seen {
		return verdictOf[A](state, call.ReasonDuplicate, nil), true
	}
	if a.Once && !f.operations.covers(f.now, a.Opened) {
		return refused[A](StateUnseen, call.OutcomeUnknown, call.ReasonTicketExpired), true
	}

	return Verdict[A]{}, false
}

// operationVerdict tells of a once operation that another attempt has queued, started or finished.
func (f *Fence[A]) operationVerdict(a Attempt) (Verdict[A], bool) {
	if !a.Once {
		return Verdict[A]{}, false
	}
	o, known := f.operations.get(a.Opened, a.Op)
	if !known || (o.state == StateFenced && !o.retired) {
		return Verdict[A]{}, false
	}

	reason := call.ReasonDuplicate
	if o.retired {
		reason = call.ReasonFenced
	}

	return verdictOf(o.state, reason, o.answer), true
}

// full makes room by forgetting early, and reports whether there is none.
func (f *Fence[A]) full(a Attempt) bool {
	if a.Once && f.operations.size >= f.limits.MaxOnceOperations {
		return true
	}

	for len(f.live)+f.past.size >= f.limits.MaxAttemptRecords {
		if !f.past.shrink(f.now, f.limits.MinAttemptRetention) {
			return true
		}
	}

	return false
}

// settle fences an attempt that will not run; without room to remember that, nothing is promised.
func (f *Fence[A]) settle(a Attempt, reason call.Reason) Verdict[A] {
	if f.past.size >= fencedShare*f.limits.MaxAttemptRecords || !f.past.covers(f.now, a.Issued) {
		return refused[A](StateUnseen, call.OutcomeUnknown, reason)
	}
	state := StateUnseen
	state.fire(eventFence)
	f.past.put(a.Issued, a.key(), state)

	return refused[A](state, call.OutcomeNotRun, reason)
}

func (f *Fence[A]) own(a Attempt) {
	o := &operation[A]{owner: a.Number}
	o.state.fire(eventArrive)
	f.operations.put(a.Opened, a.Op, o)
}

// Start moves a queued attempt to running, false if it was fenced meanwhile and must not run.
func (f *Fence[A]) Start(a Attempt) bool {
	r, alive := f.live[a.key()]
	if !alive || !r.state.fire(eventStart) {
		return false
	}
	f.follow(r, eventStart)

	return true
}

// Refuse settles an admitted attempt that certainly did not reach the backend server.
func (f *Fence[A]) Refuse(a Attempt) {
	r, alive := f.live[a.key()]
	if !alive || !r.state.fire(eventRefuse) {
		return
	}
	f.follow(r, eventRefuse)
	f.bury(r)
}

// Finish settles a running attempt and remembers the answer of a once operation, size in bytes.
func (f *Fence[A]) Finish(a Attempt, answer *A, size int64) {
	r, alive := f.live[a.key()]
	if !alive || !r.state.fire(eventFinish) {
		return
	}
	if o := f.follow(r, eventFinish); o != nil && answer != nil {
		f.keep(o, answer, size)
	}
	f.bury(r)
}

// keep remembers an answer, and drops the oldest ones where there is no room.
func (f *Fence[A]) keep(o *operation[A], answer *A, size int64) {
	o.answer = answer
	o.size = size
	f.bytes += size
	f.kept = append(f.kept, o)
	for len(f.kept) > 0 && (f.bytes > f.limits.MaxResponseBytes || f.kept[0].answer == nil) {
		f.drop(f.kept[0])
		f.kept = f.kept[1:]
	}
}

func (f *Fence[A]) drop(o *operation[A]) {
	f.bytes -= o.size
	o.answer, o.size = nil, 0
}

// follow moves the once operation along with the attempt that owns it.
func (f *Fence[A]) follow(r *record, e event) *operation[A] {
	if !r.attempt.Once {
		return nil
	}
	o, known := f.operations.get(r.attempt.Opened, r.attempt.Op)
	if !known || o.owner != r.attempt.Number {
		return nil
	}
	o.state.fire(e)

	return o
}

func (f *Fence[A]) bury(r *record) {
	delete(f.live, r.attempt.key())
	if f.past.covers(f.now, r.attempt.Issued) {
		f.past.put(r.attempt.Issued, r.attempt.key(), r.state)
	}
}

// advance moves the clock, never backwards, and forgets what is old.
func (f *Fence[A]) advance(now time.Time) {
	if !now.After(f.now) {
		return
	}
	turned := f.past.bucket(now) != f.past.bucket(f.now)
	f.now = now
	if !turned {
		return
	}
	f.past.expire(now, func(key, State) {})
	f.operations.expire(now, f.forget)
}

// forget drops a once operation, of which later attempts are refused for their age.
func (f *Fence[A]) forget(_ call.ID, o *operation[A]) {
	f.drop(o)
}
