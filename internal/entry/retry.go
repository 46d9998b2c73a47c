package entry

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Failure is an attempt that brought no answer, or one that blames the backend server.
type Failure struct {
	Service    string
	Policy     tree.Policy
	Attempt    int
	Outcome    call.Outcome
	Reason     call.Reason
	Final      bool
	RetryAfter time.Duration
	Remaining  time.Duration
	// Credits is the number of attempts that the call may still make, as far as that is known.
	Credits int
	// UntriedTargets is the number of targets that have not been tried.
	UntriedTargets int
}

// RetryDecision says whether to make another attempt, and after which wait.
type RetryDecision struct {
	Retry  bool
	Delay  time.Duration
	Reason call.Reason
}

// Retrier decides about further attempts.
type Retrier interface {
	// CountFirstAttempt counts a first attempt, on which the retry ratio is based.
	CountFirstAttempt(now time.Time, service string, ratio float64)
	Decide(now time.Time, failure Failure) RetryDecision
}

// baselineRetries is how often the baseline tries again.
const baselineRetries = 3

// FixedRetrier is the baseline: up to three retries at once, whatever the load.
type FixedRetrier struct{}

// NewFixedRetrier returns the baseline.
func NewFixedRetrier() FixedRetrier {
	return FixedRetrier{}
}

// CountFirstAttempt counts nothing.
func (FixedRetrier) CountFirstAttempt(time.Time, string, float64) {}

// Decide allows a retry where running twice does no harm.
func (FixedRetrier) Decide(_ time.Time, failure Failure) RetryDecision {
	safe := failure.Outcome == call.OutcomeNotRun || (failure.Policy.Idempotent && !failure.Policy.Once)
	if !safe || failure.Final || failure.Attempt > baselineRetries {
		return RetryDecision{Reason: failure.Reason}
	}

	return RetryDecision{Retry: true, Reason: failure.Reason}
}
