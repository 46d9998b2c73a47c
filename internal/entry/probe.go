package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/exec"
	"github.com/pistachiotack/pistachiotack/internal/peers"
	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/waits"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fence"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// resolveTimeout bounds one RPC to the control listener, beyond the time that the RPC is asked to wait.
const resolveTimeout = 500 * time.Millisecond

// stateUnreachable is logged in place of the state of an attempt whose executing node can't be queried.
const stateUnreachable = "noWord"

// probe queries the executing node, on the control connection, for the outcome of an attempt that has no response yet.
type probe struct {
	request *request
	target  member.Entry
	attempt fence.Attempt
	// finished is true if a previous query found that the attempt had ended or been refused.
	finished bool
	// verdict is the final verdict of the node, nil while there is none.
	verdict *exec.Verdict
}

func (r *request) newProbe(target member.Entry, envelope call.Envelope) *probe {
	// The error is ignored: the operation ID was validated when it was created or parsed.
	attempt, _ := exec.AttemptOf(envelope)

	return &probe{request: r, target: target, attempt: attempt}
}

// onSilence is called each time the progress time passes without a response. A returned error ends the attempt.
func (p *probe) onSilence(c context.Context) error {
	verdict, err := p.resolve(c, 0)
	switch {
	case err != nil && p.request.idempotent():
		return call.NewRefusal(call.OutcomeUnknown, call.ReasonBroken).WithDetail("%v", err)
	case err != nil:
		return nil
	case verdict.InProgress():
		return p.checkStalled(c)
	case p.attempt.Incarnation == 0 && verdict.Reason == call.ReasonWrongIncarnation:
		// The node can't match the attempt, as the target's incarnation wasn't known when it was sent.
		return nil
	case verdict.Reason == call.ReasonDuplicate && !p.finished:
		// The attempt had ended before the query, so the response may still be in transit.
		p.finished = true

		return nil
	}
	p.verdict = &verdict
	p.request.entry.client.CloseConnections(p.target.Peers)

	return call.NewRefusal(verdict.Outcome, call.ReasonSilent).WithDetail("connection is silent, attempt is %s", verdict.State)
}

// checkStalled ends and cancels an idempotent attempt if the target's backend server has stopped responding.
func (p *probe) checkStalled(c context.Context) error {
	if !p.request.idempotent() {
		return nil
	}
	c, cancel := context.WithTimeout(c, resolveTimeout)
	defer cancel()
	var vitals exec.Vitals
	err := p.request.entry.control.Call(c, p.target.Control, exec.MethodVitals, exec.VitalsArgs{Kind: p.request.policy.Kind}, &vitals)
	if err != nil || !vitals.Stalled {
		return nil
	}
	p.request.entry.canceller.cancel(p.target, p.attempt)

	return call.NewRefusal(call.OutcomeUnknown, call.ReasonStalled).WithDetail("backend server of %s answers nothing", p.target.ID)
}

// resolveUnknown replaces an unknown outcome by the one that the executing node reports, if it reports one.
func (p *probe) resolveUnknown(c context.Context, result Result, resp *relay.Response) Result {
	if result.Outcome != call.OutcomeUnknown || (result.HasFeedback && result.Reason != call.ReasonTorn) {
		return result
	}
	if result.Reason == call.ReasonStalled {
		return result
	}
	if result.Reason == call.ReasonCancelled {
		p.request.entry.canceller.cancel(p.target, p.attempt)

		return result
	}
	if c.Err() != nil {
		return result
	}
	p.awaitVerdict(c)
	switch {
	case p.verdict == nil:
		return result
	case p.verdict.Answer != nil:
		setResponse(resp, *p.verdict.Answer)
		result.Outcome = call.OutcomeRan
		result.Status = p.verdict.Answer.Status
	case p.verdict.Outcome == call.OutcomeNotRun:
		// The node responds and has not received the attempt, so the connection is at fault.
		result.Outcome = call.OutcomeNotRun
		result.Reason = call.ReasonSilent
		p.request.allowLatestTarget()
	}

	return result
}

// awaitVerdict queries the node for the verdict. It repeats the query while a once operation is running, as the node stores
// the response of such an operation.
func (p *probe) awaitVerdict(c context.Context) {
	for p.verdict == nil && c.Err() == nil {
		verdict, err := p.resolve(c, p.request.policy.Progress)
		switch {
		case err != nil && (!p.attempt.Once || errors.Is(err, peers.ErrUnreachable)):
			return
		case err != nil:
			waits.Sleep(c, p.request.policy.Progress)
		case verdict.InProgress() && p.attempt.Once:
		default:
			p.verdict = &verdict
		}
	}
}

// resolve queries the executing node for the verdict on the attempt, and logs and counts it. The node waits up to the given
// time for a once operation that is running.
func (p *probe) resolve(c context.Context, wait time.Duration) (exec.Verdict, error) {
	c, cancel := context.WithTimeout(c, resolveTimeout+wait)
	defer cancel()
	var verdict exec.Verdict
	args := exec.ResolveArgs{Attempt: p.attempt, Wait: wait}
	err := p.request.entry.control.Call(c, p.target.Control, exec.MethodResolve, args, &verdict)
	decision := trace.Decision{Step: trace.StepResolve, Chosen: p.target.ID, Outcome: verdict.Outcome, Reason: verdict.Reason, Detail: verdict.State.String()}
	if err != nil {
		decision.Outcome, decision.Reason, decision.Detail = call.OutcomeUnknown, call.ReasonConnect, stateUnreachable
	}
	p.request.logDecision(decision)
	p.request.entry.metrics.Tagged(map[string]string{"state": decision.Detail}).Counter("resolved").Inc(1)

	return verdict, err
}

// allowLatestTarget removes the latest target from the tried ones, so that it can be selected again.
func (r *request) allowLatestTarget() {
	if last := len(r.tried) - 1; last >= 0 {
		r.tried = r.tried[:last]
	}
}

// idempotent reports whether the call may be run twice.
func (r *request) idempotent() bool {
	return r.policy.Idempotent && !r.policy.Once
}

// setResponse replaces the response of the attempt by the stored one.
func setResponse(resp *relay.Response, stored exec.Response) {
	resp.Close()
	resp.Stream = nil
	stored.Fill(&resp.Response)
}
