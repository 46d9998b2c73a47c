package retry

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Reasons of a decision beside those of package call.
const (
	ReasonRetry             call.Reason = "retry"
	ReasonMove              call.Reason = "move"
	ReasonFinal             call.Reason = "finalAbove"
	ReasonOnceUnknown       call.Reason = "onceUnknown"
	ReasonRetryAfterTooLong call.Reason = "retryAfterTooLong"
	ReasonNotRetryable      call.Reason = "noUseTrying"
	ReasonNoTimeLeft        call.Reason = "noTimeLeft"
)

const (
	backoffMost = time.Second
	// moveMost is the number of attempts up to which a call moves on from targets that leave, free of the budget.
	moveMost = 4
	// leastLeft is the part of the estimated time that has to be left for one more attempt.
	leastLeft = 0.5
)

// Settings bound the retries; they come from the settings tree.
type Settings struct {
	Ratio   float64
	Backoff time.Duration
}

// Failure is an attempt that gave no answer to pass on, and what the call has left.
type Failure struct {
	// Attempt is 1 for the first.
	Attempt int
	Outcome call.Outcome
	Reason  call.Reason
	// Final says that a hop below has already decided against it.
	Final      bool
	RetryAfter time.Duration
	// Idempotent calls may be sent again although they may have run, others never.
	Idempotent bool
	Credits    int
	Remaining  time.Duration
	// ExpectedDuration is how long an attempt lately took, zero if unknown.
	ExpectedDuration time.Duration
	// UntriedTargets is the number of targets that have not been tried.
	UntriedTargets int
}

// Decision says whether to try again, after how long, and why or why not.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason call.Reason
}

// Retrier decides for one entry and service; its owner serialises calls.
type Retrier struct {
	budget Budget
	rng    *rand.Rand
}

// New returns a retrier with an empty budget.
func New(rng *rand.Rand) *Retrier {
	return &Retrier{rng: rng}
}

// CountFirstAttempt counts a first attempt.
func (r *Retrier) CountFirstAttempt(s Settings) {
	r.budget.AddFirstAttempt(s.Ratio)
}

// Counts returns the first attempts and the retries against the budget so far.
func (r *Retrier) Counts() (firsts, retries int) {
	return r.budget.Counts()
}

// Decide says whether a failed attempt is made again at this hop.
func (r *Retrier) Decide(s Settings, f Failure) Decision {
	if reason := refused(f); reason != "" {
		return Decision{Reason: reason}
	}
	if moves(f) {
		return Decision{Retry: true, Reason: ReasonMove}
	}
	after := r.backoff(s, f)
	if !inTime(f, after) {
		return Decision{Reason: late(f)}
	}
	if !r.budget.TakeRetry() {
		return Decision{Reason: call.ReasonRetryBudget}
	}

	return Decision{Retry: true, Delay: after, Reason: ReasonRetry}
}

// refused returns why the call must not be tried again, empty if it may.
func refused(f Failure) call.Reason {
	switch {
	case f.Final:
		return ReasonFinal
	case f.Outcome != call.OutcomeNotRun && !f.Idempotent:
		return ReasonOnceUnknown
	case useless(f.Reason):
		return ReasonNotRetryable
	case f.Credits <= 0:
		return call.ReasonNoCredits
	case !inTime(f, 0):
		return ReasonNoTimeLeft
	}

	return ""
}

// useless reports whether another target would refuse for the same reason.
func useless(reason call.Reason) bool {
	switch reason {
	case call.ReasonDeadline, call.ReasonHopeless, call.ReasonCancelled, call.ReasonNoCredits, call.ReasonTooDeep,
		call.ReasonUnknownService, call.ReasonBadRequest, call.ReasonNoParent, call.ReasonNeedsTicket,
		call.ReasonTicketExpired, call.ReasonKeyClaimed, call.ReasonThreshold, call.ReasonFairShare,
		call.ReasonRetryBudget, call.ReasonDuplicate, call.ReasonNoTarget:
		return true
	}

	return false
}

// moves reports whether the target was left before it had any work of the call, so that trying another adds no load.
func moves(f Failure) bool {
	if f.Outcome != call.OutcomeNotRun || f.UntriedTargets <= 0 || f.Attempt >= moveMost {
		return false
	}
	switch f.Reason {
	case call.ReasonDraining, call.ReasonWarming, call.ReasonWrongIncarnation, call.ReasonConnect:
		return true
	}

	return false
}

// backoff doubles with each attempt, with full jitter above a quarter, and is none where another target can take over.
func (r *Retrier) backoff(s Settings, f Failure) time.Duration {
	if f.UntriedTargets > 0 && f.Outcome == call.OutcomeNotRun && f.RetryAfter == 0 {
		return 0
	}
	mean := min(s.Backoff<<min(f.Attempt-1, 10), backoffMost)
	after := time.Duration(float64(mean) * (0.25 + 1.5*r.rng.Float64()))
	if f.UntriedTargets > 0 {
		return after
	}

	return max(after, f.RetryAfter)
}

func inTime(f Failure, after time.Duration) bool {
	need := time.Duration(leastLeft * float64(f.ExpectedDuration))

	return f.Remaining > after+need
}

func late(f Failure) call.Reason {
	if f.RetryAfter > 0 {
		return ReasonRetryAfterTooLong
	}

	return ReasonNoTimeLeft
}
