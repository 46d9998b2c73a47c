package entry

import (
	"context"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// run makes attempts until one returns a response or no retry is allowed.
func (r *request) run(c context.Context) *call.Refusal {
	if refusal := r.validate(); refusal != nil {
		return refusal
	}
	r.entry.options.Retrier.CountFirstAttempt(r.startedAt, r.policy.Service, r.policy.RetryRatio)
	var earlier *call.Refusal
	for {
		r.attempt++
		failure := r.makeAttempt(c)
		if failure == nil {
			return nil
		}
		failure = moreSpecific(earlier, failure)
		earlier = failure
		r.mayHaveRun = r.mayHaveRun || failure.Outcome != call.OutcomeNotRun
		if r.operationRetired(failure) && r.moveKey(c) {
			continue
		}
		if refusal := r.waitForRetry(c, failure); refusal != nil {
			return r.adjustOutcome(refusal)
		}
		r.moveKey(c)
	}
}

// moreSpecific returns the failure of the earlier attempt if the later one only found no target, and makes it final.
func moreSpecific(earlier, failure *call.Refusal) *call.Refusal {
	if earlier != nil && failure.Reason == call.ReasonNoTarget {
		return earlier.WithFinal()
	}

	return failure
}

// adjustOutcome changes the outcome notRun to unknown if an earlier attempt, or an earlier request with the same ticket or key,
// may have run.
func (r *request) adjustOutcome(refusal *call.Refusal) *call.Refusal {
	mayHaveRun := r.mayHaveRun || (r.home != nil && !r.home.reported)
	if mayHaveRun && refusal.Outcome == call.OutcomeNotRun {
		changed := *refusal
		changed.Outcome = call.OutcomeUnknown

		return &changed
	}

	return refusal
}

func (r *request) validate() *call.Refusal {
	switch {
	case r.policy.Service == "":
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonUnknownService).
			WithDetail("name the service in the first label of Host or in %s", wire.HeaderService)
	case r.scope.Depth >= r.policy.Depth:
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonTooDeep).WithFinal()
	case !r.expiresAt.After(r.startedAt):
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonDeadline).WithFinal()
	default:
		return nil
	}
}

// makeAttempt makes one attempt, and more after responses with a server error that may be retried. It returns nil once a
// response is forwarded to the caller.
func (r *request) makeAttempt(c context.Context) *call.Refusal {
	resp, target, failure := r.fetchWithTarget(c)
	if failure != nil {
		return failure
	}
	if r.retriesServerError(c, resp) {
		resp.Close()

		return r.makeAttempt(c)
	}
	r.forward(c, target, resp)

	return nil
}

// retriesServerError reports whether the response is a server error that is retried, and waits for the retry delay.
func (r *request) retriesServerError(c context.Context, resp *relay.Response) bool {
	if resp.Response.StatusCode() < statusServerError {
		return false
	}
	feedback, _ := wire.Feedback(&resp.Response.Header)
	failure := call.NewRefusal(call.OutcomeRan, call.ReasonBackendFault).
		WithThreshold(feedback.KindThreshold).WithRetryAfter(feedback.RetryAfter)
	failure.Final = feedback.Final
	if r.waitForRetry(c, failure) != nil {
		// Recorded in the scope, so that the nodes above in the call tree don't retry either.
		r.scope.SetLastRefusal(failure)

		return false
	}
	r.mayHaveRun = true
	r.attempt++

	return true
}

// waitForRetry returns nil after the retry delay if the failed attempt may be retried, and the failure otherwise.
func (r *request) waitForRetry(c context.Context, failure *call.Refusal) *call.Refusal {
	credits := r.scope.Ledger.Remaining()
	decision := r.entry.options.Retrier.Decide(time.Now(), Failure{
		Service:        r.policy.Service,
		Policy:         r.policy,
		Attempt:        r.attempt,
		Outcome:        failure.Outcome,
		Reason:         failure.Reason,
		Final:          failure.Final,
		RetryAfter:     failure.RetryAfter,
		Remaining:      time.Until(r.expiresAt),
		Credits:        min(credits.Attempts, credits.Retries),
		UntriedTargets: len(r.entry.members.Members(r.policy.Service)) - len(r.tried),
	})
	if !decision.Retry {
		r.logDecision(trace.Decision{Step: trace.StepRetry, Outcome: failure.Outcome, Reason: decision.Reason, Detail: "gives up: " + string(failure.Reason)})

		return failure
	}
	r.logDecision(trace.Decision{Step: trace.StepRetry, Outcome: failure.Outcome, Reason: decision.Reason})
	if decision.Delay <= 0 {
		return nil
	}
	timer := time.NewTimer(decision.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-c.Done():
		return failure
	}
}
