package entry

import (
	"context"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// run makes attempts until one brings an answer or there is a reason to give up.
func (r *request) run(c context.Context) *call.Refusal {
	if refusal := r.check(); refusal != nil {
		return refusal
	}
	r.entry.options.Retrier.First(r.started, r.policy.Service, r.policy.RetryRatio)
	var before *call.Refusal
	for {
		r.attempt++
		failure := r.try(c)
		if failure == nil {
			return nil
		}
		failure = moreTelling(before, failure)
		before = failure
		r.mayHaveRun = r.mayHaveRun || failure.Outcome != call.OutcomeNotRun
		if r.retired(failure) && r.move(c) {
			continue
		}
		if refusal := r.pause(c, failure); refusal != nil {
			return r.honest(refusal)
		}
		r.move(c)
	}
}

// moreTelling keeps what an attempt met when the next one found no target left.
func moreTelling(before, failure *call.Refusal) *call.Refusal {
	if before != nil && failure.Reason == call.ReasonNoTarget {
		return before.WithFinal()
	}

	return failure
}

// honest keeps a refusal from saying notRun when an earlier attempt, or an earlier request with the ticket, may have been run.
func (r *request) honest(refusal *call.Refusal) *call.Refusal {
	sent := r.mayHaveRun || (r.home != nil && !r.home.said)
	if sent && refusal.Outcome == call.OutcomeNotRun {
		changed := *refusal
		changed.Outcome = call.OutcomeUnknown

		return &changed
	}

	return refusal
}

func (r *request) check() *call.Refusal {
	switch {
	case r.policy.Service == "":
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonUnknownService).
			WithDetail("name the service in the first label of Host or in %s", wire.HeaderService)
	case r.scope.Depth >= r.policy.Depth:
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonTooDeep).WithFinal()
	case !r.expires.After(r.started):
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonDeadline).WithFinal()
	default:
		return nil
	}
}

// try makes one attempt, and returns nil once the answer is under way to the caller.
func (r *request) try(c context.Context) *call.Refusal {
	answer, target, failure := r.fetchFrom(c)
	if failure != nil {
		return failure
	}
	if r.retriesFault(c, answer) {
		answer.Close()

		return r.try(c)
	}
	r.pass(c, target, answer)

	return nil
}

// retriesFault reports whether an answer that blames the backend server is dropped for another attempt.
func (r *request) retriesFault(c context.Context, answer *relay.Response) bool {
	if answer.Response.StatusCode() < statusFault {
		return false
	}
	feedback, _ := wire.Feedback(&answer.Response.Header)
	failure := call.NewRefusal(call.OutcomeRan, call.ReasonBackendFault).
		WithThreshold(feedback.KindThreshold).WithRetryAfter(feedback.RetryAfter)
	failure.Final = feedback.Final
	if r.pause(c, failure) != nil {
		// this hop has decided, so the hops above must not try again
		r.scope.SetLastRefusal(failure)

		return false
	}
	r.mayHaveRun = true
	r.attempt++

	return true
}

// pause asks whether to try again and waits; it returns the refusal to give up with.
func (r *request) pause(c context.Context, failure *call.Refusal) *call.Refusal {
	left := r.scope.Ledger.Remaining()
	verdict := r.entry.options.Retrier.Decide(time.Now(), Failure{
		Service:    r.policy.Service,
		Policy:     r.policy,
		Attempt:    r.attempt,
		Outcome:    failure.Outcome,
		Reason:     failure.Reason,
		Final:      failure.Final,
		RetryAfter: failure.RetryAfter,
		Remaining:  time.Until(r.expires),
		Credits:    min(left.Attempts, left.Retries),
		Others:     len(r.entry.members.Members(r.policy.Service)) - len(r.tried),
	})
	if !verdict.Retry {
		r.decide(trace.Decision{Step: trace.StepRetry, Outcome: failure.Outcome, Reason: verdict.Reason, Detail: "gives up: " + string(failure.Reason)})

		return failure
	}
	r.decide(trace.Decision{Step: trace.StepRetry, Outcome: failure.Outcome, Reason: verdict.Reason})
	if verdict.After <= 0 {
		return nil
	}
	timer := time.NewTimer(verdict.After)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-c.Done():
		return failure
	}
}
