package fence

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Attempt identifies one attempt of an operation towards the executing node.
type Attempt struct {
	Op     call.ID
	Number int
	// Issued is the sender's time at sending.
	Issued time.Time
	// Once marks an operation that may run a single time over all its attempts.
	Once bool
	// Opened is the time at which a once operation was created, the same over all its attempts.
	Opened time.Time
	// Incarnation is the one that the sender means; zero means any, where an ordinary attempt arrives.
	Incarnation uint64
}

type key struct {
	op     call.ID
	number int
}

func (a Attempt) key() key {
	return key{op: a.Op, number: a.Number}
}

// Verdict is what the fence says of an attempt.
type Verdict[A any] struct {
	State   State
	Outcome call.Outcome
	Reason  call.Reason
	// Answer is the remembered answer of a once operation that is done.
	Answer *A
}

// Admitted reports whether the attempt that arrived may queue and start.
func (v Verdict[A]) Admitted() bool {
	return v.State == StateQueued && v.Reason == call.ReasonOK
}

// InProgress reports whether the operation is under way, so that a later verdict will say more.
func (v Verdict[A]) InProgress() bool {
	return v.State == StateQueued || v.State == StateRunning
}

func refused[A any](state State, outcome call.Outcome, reason call.Reason) Verdict[A] {
	return Verdict[A]{State: state, Outcome: outcome, Reason: reason}
}

// verdictOf says what an asker may rely on in that state; without its answer a finished run is of unknown outcome.
func verdictOf[A any](state State, reason call.Reason, answer *A) Verdict[A] {
	v := refused[A](state, call.OutcomeUnknown, reason)
	switch {
	case state == StateFenced:
		v.Outcome = call.OutcomeNotRun
	case state == StateDone && answer != nil:
		v.Outcome, v.Answer = call.OutcomeRan, answer
	}

	return v
}
