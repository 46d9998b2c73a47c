package entry

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/credit"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	// answerShare and answerMargin bound the time kept back for the way of a refusal.
	answerShare  = 20
	answerMargin = 10 * time.Millisecond
)

// givenUp reports whether the attempt ended for want of time and not by a word of the target.
func givenUp(reason call.Reason) bool {
	return reason == call.ReasonDeadline || reason == call.ReasonCancelled
}

// fetch makes one attempt and returns its answer.
func (r *request) fetch(c context.Context) (*relay.Response, *call.Refusal) {
	answer, _, failure := r.fetchFrom(c)

	return answer, failure
}

func (r *request) fetchFrom(c context.Context) (*relay.Response, member.Entry, *call.Refusal) {
	now := time.Now()
	choice, refusal := r.target(now)
	if refusal != nil {
		return nil, choice.Target, refusal
	}
	paid := r.pay(c)
	if !paid.OK() {
		result := Result{Outcome: call.OutcomeNotRun, Reason: paid.Reason}
		r.done(result.of(r.policy, choice.Target))

		return nil, choice.Target, call.NewRefusal(call.OutcomeNotRun, paid.Reason).WithFinal()
	}
	answer := &relay.Response{}
	result := r.send(c, choice.Target, paid.Grant, answer).of(r.policy, choice.Target)
	result.Took = time.Since(now)
	result.Silent = result.Outcome == call.OutcomeUnknown && result.Took > r.policy.Progress && givenUp(result.Reason)
	r.settle(paid, result, answer)
	r.done(result)
	r.decide(trace.Decision{Step: trace.StepAttempt, Chosen: choice.Target.ID, Outcome: result.Outcome, Reason: result.Reason})
	if result.Outcome == call.OutcomeRan {
		return answer, choice.Target, nil
	}
	answer.Close()

	return nil, choice.Target, failureOf(result)
}

// pay takes the credits for one attempt.
func (r *request) pay(c context.Context) credit.Reservation {
	return r.scope.Ledger.Reserve(c, credit.Request{
		Retry: r.attempt > 1,
		Need:  r.entry.needs.estimate(r.started, r.policy, r.scope.Depth),
	})
}

// settle accounts for the credits of an attempt; those of a lost answer are lost.
func (r *request) settle(paid credit.Reservation, result Result, answer *relay.Response) {
	ledger := r.scope.Ledger
	switch {
	case result.HasFeedback:
		unspent := credit.Grant{Attempts: result.Feedback.Unspent, Retries: result.Feedback.UnspentRetries}
		ledger.Return(paid.Number, unspent)
		if result.Outcome == call.OutcomeRan && answer.Stream == nil {
			r.entry.needs.observe(time.Now(), r.policy, paid.Grant, unspent)
		}
	case result.Outcome == call.OutcomeNotRun:
		ledger.ReturnAll(paid.Number)
	default:
		ledger.Forfeit(paid.Number)
	}
}

// target returns where the next attempt goes: to the home of a once operation that has one, else to a choice.
func (r *request) target(now time.Time) (Choice, *call.Refusal) {
	if r.home == nil {
		return r.choose(now)
	}
	entry, refusal := r.atHome()

	return Choice{Target: entry}, refusal
}

// done tells the chooser of an attempt that it chose the target for.
func (r *request) done(result Result) {
	if r.home != nil {
		if r.home.chosen.ID == "" {
			return
		}
		r.home.chosen = member.Entry{}
	}
	r.entry.options.Chooser.Done(time.Now(), result)
}

func (r *request) choose(now time.Time) (Choice, *call.Refusal) {
	choice, refusal := r.entry.options.Chooser.Choose(now, Query{
		Root:    r.scope.Root,
		Service: r.policy.Service,
		Rank:    r.rank,
		Policy:  r.policy,
		Tried:   r.tried,
	}, r.entry.members.Members(r.policy.Service))
	if refusal != nil {
		return choice, refusal
	}
	r.tried = append(r.tried, choice.Target.ID)
	r.decide(trace.Decision{Step: trace.StepRoute, Chosen: choice.Target.ID, Candidates: choice.Candidates, Reason: choice.Reason, Detail: choice.Detail})

	return choice, nil
}

// send carries the call to the target and says what came of it.
func (r *request) send(c context.Context, target member.Entry, grant credit.Grant, answer *relay.Response) Result {
	target = r.known(c, target)
	envelope := r.envelope(target, grant)
	request, err := r.outgoing(envelope)
	if err != nil {
		return Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonBadRequest}
	}
	probe := r.newProbe(target, envelope)
	err = r.entry.client.Do(c, target.Peers, request, answer, relay.Limits{
		MaxBodyBytes:     int(r.policy.BufferAnswer),
		Stream:           r.policy.Stream,
		ProgressInterval: r.policy.Progress,
		CheckProgress:    func() error { return probe.waiting(c) },
	})
	result := r.classify(err, answer)
	r.entry.targets.learn(target, result.Feedback.Incarnation)

	result = r.correct(probe.settle(c, result, answer))
	if r.home != nil {
		r.home.said = result.HasFeedback || probe.verdict != nil
	}

	return result
}

func (r *request) outgoing(envelope call.Envelope) (*protocol.Request, error) {
	in := &r.http.Request
	out := &protocol.Request{}
	out.Header.SetMethodBytes(in.Header.Method())
	out.Header.SetRequestURIBytes(in.Header.RequestURI())
	out.Header.SetHostBytes(in.Header.Host())
	wire.CopyRequestHeaders(&out.Header, &in.Header)
	out.SetBodyRaw(in.Body())

	return out, wire.SetEnvelope(&out.Header, envelope)
}

// envelope describes the attempt to the target.
func (r *request) envelope(target member.Entry, grant credit.Grant) call.Envelope {
	return call.Envelope{
		Op:          r.op,
		Root:        r.scope.Root,
		Parent:      r.scope.Parent,
		Service:     r.policy.Service,
		Kind:        r.policy.Kind,
		Caller:      r.scope.Caller,
		Attempt:     r.base + r.attempt,
		Depth:       r.scope.Depth + 1,
		Credits:     grant.Attempts,
		Retries:     grant.Retries,
		Rank:        r.rank,
		Once:        r.policy.Once,
		Remaining:   r.remaining(),
		Issued:      time.Now(),
		Incarnation: target.Incarnation,
		Revision:    r.scope.Snapshot.Revision(),
	}
}

// known completes the target; a once operation needs its incarnation, and asks for it.
func (r *request) known(c context.Context, target member.Entry) member.Entry {
	target = r.entry.targets.complete(target)
	if r.policy.Once && target.Incarnation == 0 {
		target.Incarnation = r.identify(c, target)
	}

	return target
}

// remaining leaves a little of the time, so that a refusal at the deadline comes before the wait for it ends.
func (r *request) remaining() time.Duration {
	left := time.Until(r.expires)

	return left - min(left/answerShare, answerMargin)
}

// classify tells what is certain after an attempt.
func (r *request) classify(err error, answer *relay.Response) Result {
	var fault *relay.Error
	if errors.As(err, &fault) {
		return Result{Outcome: fault.Outcome(), Reason: fault.Reason}
	}
	feedback, ok := wire.Feedback(&answer.Response.Header)
	if !ok || !feedback.Outcome.Valid() || feedback.Op != r.op || feedback.Attempt != r.base+r.attempt {
		return Result{Outcome: call.OutcomeUnknown, Reason: call.ReasonTorn}
	}
	result := Result{Outcome: feedback.Outcome, Reason: feedback.Reason, HasFeedback: true, Feedback: feedback}
	result.Status = answer.Response.StatusCode()
	if feedback.Outcome == call.OutcomeRan && answer.Stream == nil && feedback.Digest != digest(answer.Response.Body()) {
		result.Outcome = call.OutcomeUnknown
		result.Reason = call.ReasonTorn
	}

	return result
}

func failureOf(result Result) *call.Refusal {
	refusal := call.NewRefusal(result.Outcome, result.Reason).WithRetryAfter(result.Feedback.RetryAfter)
	refusal.Final = result.Feedback.Final
	refusal.Threshold = max(result.Feedback.Threshold, result.Feedback.KindThreshold)

	return refusal
}
