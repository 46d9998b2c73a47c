package relay

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Stage says how far an attempt came before it failed.
type Stage string

// Stages in their order.
const (
	StageDial  Stage = "dial"
	StageWrite Stage = "write"
	StageWait  Stage = "wait"
	StageBody  Stage = "body"
)

// Error is the typed error of an attempt that brought no whole answer.
type Error struct {
	Stage  Stage
	Reason call.Reason
	Cause  error
}

// Error returns stage, reason and cause in one line.
func (f *Error) Error() string {
	return fmt.Sprintf("attempt failed at %s: %s: %v", f.Stage, f.Reason, f.Cause)
}

// Unwrap returns the cause.
func (f *Error) Unwrap() error {
	return f.Cause
}

// Outcome returns what is certain: a request that was not handed over whole cannot have been run.
func (f *Error) Outcome() call.Outcome {
	if f.Stage == StageDial || f.Stage == StageWrite {
		return call.OutcomeNotRun
	}

	return call.OutcomeUnknown
}

// OutcomeOf returns what is certain of a failed attempt at an other end that may run a request before it has read it to its end: only
// one that never had a connection was not run.
func OutcomeOf(err error) (call.Outcome, call.Reason) {
	var fault *Error
	if !errors.As(err, &fault) {
		return call.OutcomeUnknown, call.ReasonBroken
	}
	if fault.Stage == StageDial {
		return call.OutcomeNotRun, fault.Reason
	}

	return call.OutcomeUnknown, fault.Reason
}
