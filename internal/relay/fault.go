package relay

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Stage is the stage of an attempt at which it failed.
type Stage string

// Stages in the order in which an attempt passes them: connecting, sending the request, waiting for the header, reading the body.
const (
	StageDial  Stage = "dial"
	StageWrite Stage = "write"
	StageWait  Stage = "wait"
	StageBody  Stage = "body"
)

// Error is returned for an attempt without a complete response.
type Error struct {
	Stage  Stage
	Reason call.Reason
	// Reused is true if the connection had carried other requests before, so that the server may have closed it for being idle.
	Reused bool
	Cause  error
}

// Error returns the stage, the reason and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("attempt failed at %s: %s: %v", e.Stage, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Outcome returns whether the request was run, for a peer that runs a request only after reading it completely: one that was not
// sent completely was not run.
func (e *Error) Outcome() call.Outcome {
	if e.Stage == StageDial || e.Stage == StageWrite {
		return call.OutcomeNotRun
	}

	return call.OutcomeUnknown
}

// OutcomeOf returns the outcome and reason of a failed attempt, for a server that may run a request before it has read it
// completely: only a request without a connection is certain not to have run.
func OutcomeOf(err error) (call.Outcome, call.Reason) {
	var attemptErr *Error
	if !errors.As(err, &attemptErr) {
		return call.OutcomeUnknown, call.ReasonBroken
	}
	if attemptErr.Stage == StageDial {
		return call.OutcomeNotRun, attemptErr.Reason
	}

	return call.OutcomeUnknown, attemptErr.Reason
}
