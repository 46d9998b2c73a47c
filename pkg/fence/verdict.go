package fence

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Attempt identifies one attempt of an operation at the executing node. Control calls send it by gob, so the names of its
// fields are part of the protocol.
type Attempt struct {
	Op     call.ID
	Number int
	// Issued is the time at which the attempt was sent, by the sender's clock.
	Issued time.Time
	// Once marks a once operation, which may run at most once over all its attempts.
	Once bool
	// Opened is the creation time of a once operation, the same for all its attempts.
	Opened time.Time
	// Incarnation is the node incarnation that the attempt is meant for. Zero means any; only Admit accepts it, and not for a
	// once operation.
	Incarnation uint64
}

type key struct {
	op     call.ID
	number int
}

func (a Attempt) key() key {
	return key{op: a.Op, number: a.Number}
}

// Verdict is the state of an attempt and the outcome that its sender may rely on. Control calls return it by gob, so the names
// of its fields are part of the protocol.
type Verdict[A any] struct {
	State   State
	Outcome call.Outcome
	Reason  call.Reason
	// Answer is the remembered response of a once operation that is done, nil if there is none.
	Answer *A
}

// Admitted reports whether Admit queued the attempt, so that it may be started.
func (v Verdict[A]) Admitted() bool {
	return v.State == StateQueued && v.Reason == call.ReasonOK
}

// InProgress reports whether the attempt or its operation is queued or running, so that a later verdict may differ.
func (v Verdict[A]) InProgress() bool {
	return v.State == StateQueued || v.State == StateRunning
}

func newVerdict[A any](state State, outcome call.Outcome, reason call.Reason) Verdict[A] {
	return Verdict[A]{State: state, Outcome: outcome, Reason: reason}
}

// verdictInState returns the verdict for the state. The outcome of a done attempt without a remembered response is unknown, as
// the response may have been lost.
func verdictInState[A any](state State, reason call.Reason, response *A) Verdict[A] {
	v := newVerdict[A](state, call.OutcomeUnknown, reason)
	switch {
	case state == StateFenced:
		v.Outcome = call.OutcomeNotRun
	case state == StateDone && response != nil:
		v.Outcome, v.Answer = call.OutcomeRan, response
	}

	return v
}
