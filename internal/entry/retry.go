package entry

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Failure is an attempt without a response, or with one that reports an error of the backend server.
type Failure struct {
	Service    string
	Policy     tree.Policy
	Attempt    int
	Outcome    call.Outcome
	Reason     call.Reason
	Final      bool
	RetryAfter time.Duration
	Remaining  time.Duration
	// Credits is the number of retries that the remaining credits allow.
	Credits int
	// UntriedTargets is the number of targets that have not been tried.
	UntriedTargets int
}

// RetryDecision tells whether an attempt is retried, and after which delay.
type RetryDecision struct {
	Retry  bool
	Delay  time.Duration
	Reason call.Reason
}

// Retrier decides whether failed attempts are retried.
type Retrier interface {
	// CountFirstAttempt counts the first attempt of a call. The ratio is the number of retries allowed for each.
	CountFirstAttempt(now time.Time, service string, ratio float64)
	Decide(now time.Time, failure Failure) RetryDecision
}

// baselineRetries is the maximum number of retries of a call under the baseline policy.
const baselineRetries = 3

// FixedRetrier is the retrier of the baseline policy: up to three retries without delay, whatever the load.
type FixedRetrier struct{}

// NewFixedRetrier returns a FixedRetrier.
func NewFixedRetrier() FixedRetrier {
	return FixedRetrier{}
}

// CountFirstAttempt does nothing.
func (FixedRetrier) CountFirstAttempt(time.Time, string, float64) {}

// Decide allows a retry if the call was not run or may be run twice.
func (FixedRetrier) Decide(_ time.Time, failure Failure) RetryDecision {
	safe := failure.Outcome == call.OutcomeNotRun || (failure.Policy.Idempotent && !failure.Policy.Once)
	if !safe || failure.Final || failure.Attempt > baselineRetries {
		return RetryDecision{Reason: failure.Reason}
	}

	return RetryDecision{Retry: true, Reason: failure.Reason}
}
