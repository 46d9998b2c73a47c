package fence

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Resolve returns the verdict on an attempt, and fences the attempt if it has not arrived.
func (f *Fence[A]) Resolve(now time.Time, a Attempt) Verdict[A] {
	f.advanceClock(now)
	if v, found := f.existingVerdict(a); found {
		return v
	}

	return f.fenceAttempt(a, call.ReasonFenced)
}

// Retire fences a once operation for all its attempts, unless it is queued, running or done. Only a verdict with OutcomeNotRun
// confirms that it is fenced.
func (f *Fence[A]) Retire(now time.Time, a Attempt) Verdict[A] {
	f.advanceClock(now)
	if a.Incarnation != f.incarnation {
		return newVerdict[A](StateUnseen, call.OutcomeUnknown, call.ReasonWrongIncarnation)
	}
	if v, found := f.onceVerdict(a); found {
		return v
	}
	if !a.Once || !f.onceOperations.retains(f.now, a.Opened) {
		return newVerdict[A](StateUnseen, call.OutcomeUnknown, call.ReasonTicketExpired)
	}
	if f.onceOperations.size >= f.limits.MaxOnceOperations {
		return newVerdict[A](StateUnseen, call.OutcomeUnknown, call.ReasonBufferFull)
	}
	o := &operation[A]{retired: true}
	o.state.fire(eventFence)
	f.onceOperations.put(a.Opened, a.Op, o)

	return newVerdict[A](o.state, call.OutcomeNotRun, call.ReasonFenced)
}

// Cancel fences an attempt that has not started. A running attempt is not changed; its executor ends it with Finish or Refuse.
func (f *Fence[A]) Cancel(now time.Time, a Attempt) Verdict[A] {
	if r, found := f.active[a.key()]; found && r.state.fire(eventFence) {
		f.updateOnceOperation(r, eventFence)
		f.moveToSettled(r)
	}

	return f.Resolve(now, a)
}
