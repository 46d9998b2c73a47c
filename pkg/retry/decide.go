package retry

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Reasons for a decision, in addition to those of package call.
const (
	// ReasonRetry permits a retry, charged to the budget.
	ReasonRetry call.Reason = "retry"
	// ReasonMove permits a move to another target, free of the budget.
	ReasonMove call.Reason = "move"
	// ReasonFinal refuses a retry because a hop further down has already decided against it.
	ReasonFinal call.Reason = "finalAbove"
	// ReasonOnceUnknown refuses to retry a call that is not idempotent and may have run.
	ReasonOnceUnknown call.Reason = "onceUnknown"
	// ReasonRetryAfterTooLong refuses a retry because too little time remains and the target requested a delay.
	ReasonRetryAfterTooLong call.Reason = "retryAfterTooLong"
	// ReasonNotRetryable refuses a retry because every other target would fail for the same reason.
	ReasonNotRetryable call.Reason = "noUseTrying"
	// ReasonNoTimeLeft refuses a retry because too little time remains, without a requested delay.
	ReasonNoTimeLeft call.Reason = "noTimeLeft"
)

const (
	// maxBackoff is the maximum of the mean backoff.
	maxBackoff = time.Second
	// maxMoveAttempts is the number of attempts, moves included, up to which moves are not charged to the budget.
	maxMoveAttempts = 4
	// minTimeShare is the share of the expected duration that must remain for another attempt.
	minTimeShare = 0.5
)

// Settings are taken from the settings tree.
type Settings struct {
	// Ratio is the maximum number of retries per first attempt.
	Ratio float64
	// Backoff is the mean delay before the first retry.
	Backoff time.Duration
}

// Failure describes a failed attempt and what is left to the call.
type Failure struct {
	// Attempt is the number of the attempt, 1 for the first.
	Attempt int
	// Outcome tells whether the target ran the call.
	Outcome call.Outcome
	Reason  call.Reason
	// Final is true if a hop further down has already decided against a retry.
	Final bool
	// RetryAfter is the delay that the target requested, zero if none.
	RetryAfter time.Duration
	// Idempotent calls may be retried even if the attempt may have run; others only if it did not.
	Idempotent bool
	// Credits is the number of attempts that the call may still make.
	Credits int
	// Remaining is the time to the deadline.
	Remaining time.Duration
	// ExpectedDuration is the recent duration of an attempt, zero if unknown.
	ExpectedDuration time.Duration
	// UntriedTargets is the number of targets that this call has not tried.
	UntriedTargets int
}

// Decision tells whether to retry, after which delay, and the reason for either.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason call.Reason
}

// Retrier decides about the retries from one entry node to one service. It is not safe for concurrent use.
type Retrier struct {
	budget Budget
	rng    *rand.Rand
}

// New returns a retrier with an empty budget.
func New(rng *rand.Rand) *Retrier {
	return &Retrier{rng: rng}
}

// CountFirstAttempt counts a first attempt, which adds to the budget.
func (r *Retrier) CountFirstAttempt(s Settings) {
	r.budget.AddFirstAttempt(s.Ratio)
}

// Counts returns the number of first attempts and of retries charged to the budget so far.
func (r *Retrier) Counts() (firsts, retries int) {
	return r.budget.Counts()
}

// Decide decides whether this node retries a failed attempt.
func (r *Retrier) Decide(s Settings, f Failure) Decision {
	if reason := noRetryReason(f); reason != "" {
		return Decision{Reason: reason}
	}
	if isMove(f) {
		return Decision{Retry: true, Reason: ReasonMove}
	}
	delay := r.backoff(s, f)
	if !enoughTime(f, delay) {
		return Decision{Reason: noTimeReason(f)}
	}
	if !r.budget.TakeRetry() {
		return Decision{Reason: call.ReasonRetryBudget}
	}

	return Decision{Retry: true, Delay: delay, Reason: ReasonRetry}
}

// noRetryReason returns why the call must not be retried, an empty reason if it may be.
func noRetryReason(f Failure) call.Reason {
	switch {
	case f.Final:
		return ReasonFinal
	case f.Outcome != call.OutcomeNotRun && !f.Idempotent:
		return ReasonOnceUnknown
	case failsEverywhere(f.Reason):
		return ReasonNotRetryable
	case f.Credits <= 0:
		return call.ReasonNoCredits
	case !enoughTime(f, 0):
		return ReasonNoTimeLeft
	}

	return ""
}

// failsEverywhere reports whether an attempt at another target would fail for the same reason.
func failsEverywhere(reason call.Reason) bool {
	switch reason {
	case call.ReasonDeadline, call.ReasonHopeless, call.ReasonCancelled, call.ReasonNoCredits, call.ReasonTooDeep,
		call.ReasonUnknownService, call.ReasonBadRequest, call.ReasonNoParent, call.ReasonNeedsTicket,
		call.ReasonTicketExpired, call.ReasonKeyClaimed, call.ReasonThreshold, call.ReasonFairShare,
		call.ReasonRetryBudget, call.ReasonDuplicate, call.ReasonNoTarget:
		return true
	}

	return false
}

// isMove reports whether the retry is a move: the target was unavailable and did no work for the call, so that another target
// gets no additional load.
func isMove(f Failure) bool {
	if f.Outcome != call.OutcomeNotRun || f.UntriedTargets <= 0 || f.Attempt >= maxMoveAttempts {
		return false
	}
	switch f.Reason {
	case call.ReasonDraining, call.ReasonWarming, call.ReasonWrongIncarnation, call.ReasonConnect:
		return true
	}

	return false
}

// backoff returns the delay before a retry. Its mean doubles with each attempt, and jitter spreads it from a quarter to seven
// quarters of the mean. There is no delay if the call did not run, no delay was requested and another target is left. A
// requested delay is honoured only if no other target is left.
func (r *Retrier) backoff(s Settings, f Failure) time.Duration {
	if f.UntriedTargets > 0 && f.Outcome == call.OutcomeNotRun && f.RetryAfter == 0 {
		return 0
	}
	mean := min(s.Backoff<<min(f.Attempt-1, 10), maxBackoff)
	delay := time.Duration(float64(mean) * (0.25 + 1.5*r.rng.Float64()))
	if f.UntriedTargets > 0 {
		return delay
	}

	return max(delay, f.RetryAfter)
}

// enoughTime reports whether there is time for another attempt after the delay.
func enoughTime(f Failure, delay time.Duration) bool {
	required := time.Duration(minTimeShare * float64(f.ExpectedDuration))

	return f.Remaining > delay+required
}

// noTimeReason returns the reason for a refusal for lack of time, which tells whether the target requested a delay.
func noTimeReason(f Failure) call.Reason {
	if f.RetryAfter > 0 {
		return ReasonRetryAfterTooLong
	}

	return ReasonNoTimeLeft
}
