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
	// The time reserved for the transfer of a refusal is the remaining time divided by refusalReserveDivisor, and at most
	// maxRefusalReserve.
	refusalReserveDivisor = 20
	maxRefusalReserve     = 10 * time.Millisecond
)

// timedOutOrCancelled reports whether the attempt ended by its deadline or a cancellation, without a response of the target.
func timedOutOrCancelled(reason call.Reason) bool {
	return reason == call.ReasonDeadline || reason == call.ReasonCancelled
}

// fetch makes one attempt and returns its response.
func (r *request) fetch(c context.Context) (*relay.Response, *call.Refusal) {
	resp, _, failure := r.fetchWithTarget(c)

	return resp, failure
}

// fetchWithTarget makes one attempt and returns its response together with the target.
func (r *request) fetchWithTarget(c context.Context) (*relay.Response, member.Entry, *call.Refusal) {
	now := time.Now()
	choice, refusal := r.nextTarget(now)
	if refusal != nil {
		return nil, choice.Target, refusal
	}
	reservation := r.reserveCredits(c)
	if !reservation.OK() {
		result := Result{Outcome: call.OutcomeNotRun, Reason: reservation.Reason}
		r.reportToChooser(result.forTarget(r.policy, choice.Target))

		return nil, choice.Target, call.NewRefusal(call.OutcomeNotRun, reservation.Reason).WithFinal()
	}
	resp := &relay.Response{}
	result := r.send(c, choice.Target, reservation.Grant, resp).forTarget(r.policy, choice.Target)
	result.Latency = time.Since(now)
	result.Unresponsive = result.Outcome == call.OutcomeUnknown && result.Latency > r.policy.Progress && timedOutOrCancelled(result.Reason)
	r.settleCredits(reservation, result, resp)
	r.reportToChooser(result)
	r.logDecision(trace.Decision{Step: trace.StepAttempt, Chosen: choice.Target.ID, Outcome: result.Outcome, Reason: result.Reason})
	if result.Outcome == call.OutcomeRan {
		return resp, choice.Target, nil
	}
	resp.Close()

	return nil, choice.Target, refusalFromResult(result)
}

// reserveCredits reserves the credits for one attempt in the ledger of the operation that makes the call.
func (r *request) reserveCredits(c context.Context) credit.Reservation {
	return r.scope.Ledger.Reserve(c, credit.Request{
		Retry: r.attempt > 1,
		Need:  r.entry.needs.estimate(r.startedAt, r.policy, r.scope.Depth),
	})
}

// settleCredits returns the unspent credits of an attempt to the ledger. Without feedback, they are returned if the attempt
// wasn't run, and forfeited if its outcome is unknown.
func (r *request) settleCredits(reservation credit.Reservation, result Result, resp *relay.Response) {
	ledger := r.scope.Ledger
	switch {
	case result.HasFeedback:
		unspent := credit.Grant{Attempts: result.Feedback.Unspent, Retries: result.Feedback.UnspentRetries}
		ledger.Return(reservation.Number, unspent)
		if result.Outcome == call.OutcomeRan && resp.Stream == nil {
			r.entry.needs.observe(time.Now(), r.policy, reservation.Grant, unspent)
		}
	case result.Outcome == call.OutcomeNotRun:
		ledger.ReturnAll(reservation.Number)
	default:
		ledger.Forfeit(reservation.Number)
	}
}

// nextTarget returns the target of the next attempt: the home of a once operation if it has one, else the target that the
// chooser selects.
func (r *request) nextTarget(now time.Time) (Choice, *call.Refusal) {
	if r.home == nil {
		return r.chooseTarget(now)
	}
	entry, refusal := r.homeTarget()

	return Choice{Target: entry}, refusal
}

// reportToChooser reports the result of an attempt whose target the chooser selected, once for each choice.
func (r *request) reportToChooser(result Result) {
	if r.home != nil {
		if r.home.chosen.ID == "" {
			return
		}
		r.home.chosen = member.Entry{}
	}
	r.entry.options.Chooser.Done(time.Now(), result)
}

func (r *request) chooseTarget(now time.Time) (Choice, *call.Refusal) {
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
	r.logDecision(trace.Decision{Step: trace.StepRoute, Chosen: choice.Target.ID, Candidates: choice.Candidates, Reason: choice.Reason, Detail: choice.Detail})

	return choice, nil
}

// send sends the call to the target and returns the result, without the fields that forTarget sets.
func (r *request) send(c context.Context, target member.Entry, grant credit.Grant, resp *relay.Response) Result {
	target = r.withIncarnation(c, target)
	envelope := r.envelope(target, grant)
	request, err := r.outgoingRequest(envelope)
	if err != nil {
		return Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonBadRequest}
	}
	probe := r.newProbe(target, envelope)
	err = r.entry.client.Do(c, target.Peers, request, resp, relay.Limits{
		MaxBodyBytes:     int(r.policy.BufferAnswer),
		Stream:           r.policy.Stream,
		ProgressInterval: r.policy.Progress,
		CheckProgress:    func() error { return probe.onSilence(c) },
	})
	result := r.classify(err, resp)
	r.entry.incarnations.record(target, result.Feedback.Incarnation)

	result = r.correctOutcome(probe.resolveUnknown(c, result, resp))
	if r.home != nil {
		r.home.reported = result.HasFeedback || probe.verdict != nil
	}

	return result
}

func (r *request) outgoingRequest(envelope call.Envelope) (*protocol.Request, error) {
	in := &r.http.Request
	out := &protocol.Request{}
	out.Header.SetMethodBytes(in.Header.Method())
	out.Header.SetRequestURIBytes(in.Header.RequestURI())
	out.Header.SetHostBytes(in.Header.Host())
	wire.CopyRequestHeaders(&out.Header, &in.Header)
	out.SetBodyRaw(in.Body())

	return out, wire.SetEnvelope(&out.Header, envelope)
}

// envelope returns the metadata that the target receives with the attempt.
func (r *request) envelope(target member.Entry, grant credit.Grant) call.Envelope {
	return call.Envelope{
		Op:          r.op,
		Root:        r.scope.Root,
		Parent:      r.scope.Parent,
		Service:     r.policy.Service,
		Kind:        r.policy.Kind,
		Caller:      r.scope.Caller,
		Attempt:     r.attemptBase + r.attempt,
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

// withIncarnation returns the target with its incarnation if that is cached. A once operation requires the incarnation, so the
// target is queried for it.
func (r *request) withIncarnation(c context.Context, target member.Entry) member.Entry {
	target = r.entry.incarnations.complete(target)
	if r.policy.Once && target.Incarnation == 0 {
		target.Incarnation = r.identify(c, target)
	}

	return target
}

// remaining returns the time until the deadline, less a reserve, so that a refusal which the target sends at its deadline
// arrives while the entry node still waits.
func (r *request) remaining() time.Duration {
	remaining := time.Until(r.expiresAt)

	return remaining - min(remaining/refusalReserveDivisor, maxRefusalReserve)
}

// classify derives the result of an attempt from the client's error or from the feedback headers. The outcome is unknown if
// the headers are missing or belong to another attempt, or if the digest doesn't match the body.
func (r *request) classify(err error, resp *relay.Response) Result {
	var relayErr *relay.Error
	if errors.As(err, &relayErr) {
		return Result{Outcome: relayErr.Outcome(), Reason: relayErr.Reason}
	}
	feedback, ok := wire.Feedback(&resp.Response.Header)
	if !ok || !feedback.Outcome.Valid() || feedback.Op != r.op || feedback.Attempt != r.attemptBase+r.attempt {
		return Result{Outcome: call.OutcomeUnknown, Reason: call.ReasonTorn}
	}
	result := Result{Outcome: feedback.Outcome, Reason: feedback.Reason, HasFeedback: true, Feedback: feedback}
	result.Status = resp.Response.StatusCode()
	if feedback.Outcome == call.OutcomeRan && resp.Stream == nil && feedback.Digest != digest(resp.Response.Body()) {
		result.Outcome = call.OutcomeUnknown
		result.Reason = call.ReasonTorn
	}

	return result
}

func refusalFromResult(result Result) *call.Refusal {
	refusal := call.NewRefusal(result.Outcome, result.Reason).WithRetryAfter(result.Feedback.RetryAfter)
	refusal.Final = result.Feedback.Final
	refusal.Threshold = max(result.Feedback.Threshold, result.Feedback.KindThreshold)

	return refusal
}
