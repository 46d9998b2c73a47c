package relay

import (
	"fmt"

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

// Fault is the typed error of an attempt that brought no whole answer.
type Fault struct {
	Stage  Stage
	Reason call.Reason
	Cause  error
}

// Error returns stage, reason and cause in one line.
func (f *Fault) Error() string {
	return fmt.Sprintf("attempt failed at %s: %s: %v", f.Stage, f.Reason, f.Cause)
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error {
	return f.Cause
}

// Outcome returns what is certain: a request that was not handed over whole cannot have been run.
func (f *Fault) Outcome() call.Outcome {
	if f.Stage == StageDial || f.Stage == StageWrite {
		return call.OutcomeNotRun
	}

	return call.OutcomeUnknown
}
