package fence

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Resolve says what became of an attempt, and fences it if it was not seen.
func (f *Fence[A]) Resolve(now time.Time, a Attempt) Verdict[A] {
	f.advance(now)
	if v, settled := f.settled(a); settled {
		return v
	}

	return f.settle(a, call.ReasonFenced)
}

// Retire fences a once operation over all its attempts, unless it is under way or done; only notRun says that it did.
func (f *Fence[A]) Retire(now time.Time, a Attempt) Verdict[A] {
	f.advance(now)
	if a.Incarnation != f.incarnation {
		return refused[A](StateUnseen, call.OutcomeUnknown, call.ReasonWrongIncarnation)
	}
	if v, known := f.operationVerdict(a); known {
		return v
	}
	if !a.Once || !f.operations.covers(f.now, a.Opened) {
		return refused[A](StateUnseen, call.OutcomeUnknown, call.ReasonTicketExpired)
	}
	if f.operations.size >= f.limits.MaxOnceOperations {
		return refused[A](StateUnseen, call.OutcomeUnknown, call.ReasonBufferFull)
	}
	o := &operation[A]{retired: true}
	o.state.fire(eventFence)
	f.operations.put(a.Opened, a.Op, o)

	return refused[A](o.state, call.OutcomeNotRun, call.ReasonFenced)
}

// Cancel fences an attempt that has not started; one that runs is left to its owner.
func (f *Fence[A]) Cancel(now time.Time, a Attempt) Verdict[A] {
	if r, alive := f.live[a.key()]; alive && r.state.fire(eventFence) {
		f.follow(r, eventFence)
		f.bury(r)
	}

	return f.Resolve(now, a)
}
