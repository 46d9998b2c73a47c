package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/exec"
	"github.com/pistachiotack/pistachiotack/internal/peers"
	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fence"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// resolveTimeout bounds one question on the control connection.
const resolveTimeout = 500 * time.Millisecond

// noWord stands for the state of an attempt whose node cannot be asked.
const noWord = "noWord"

// probe asks the executing node, on a connection apart, what became of an attempt that brings no answer.
type probe struct {
	request *request
	target  member.Entry
	attempt fence.Attempt
	// settled says that the node had finished or refused the attempt before the last question.
	settled bool
	// verdict is the last word of the node, nil while there is none.
	verdict *exec.Verdict
}

func (r *request) newProbe(target member.Entry, envelope call.Envelope) *probe {
	// an envelope of a once operation was checked when its ID was made or read
	attempt, _ := exec.AttemptOf(envelope)

	return &probe{request: r, target: target, attempt: attempt}
}

// waiting is asked at each silent interval, and ends the attempt with an error.
func (p *probe) waiting(c context.Context) error {
	verdict, err := p.resolve(c, 0)
	switch {
	case err != nil && p.request.repeatable():
		return call.NewRefusal(call.OutcomeUnknown, call.ReasonBroken).WithDetail("%v", err)
	case err != nil:
		return nil
	case verdict.InProgress():
		return p.unlessStalled(c)
	case p.attempt.Incarnation == 0 && verdict.Reason == call.ReasonWrongIncarnation:
		// nothing is known of the target yet
		return nil
	case verdict.Reason == call.ReasonDuplicate && !p.settled:
		// it was settled before the question, so the answer may be on its way
		p.settled = true

		return nil
	}
	p.verdict = &verdict
	p.request.entry.client.CloseConnections(p.target.Peers)

	return call.NewRefusal(verdict.Outcome, call.ReasonSilent).WithDetail("connection is silent, attempt is %s", verdict.State)
}

// unlessStalled ends an attempt that may be repeated if its target's backend server has stopped answering.
func (p *probe) unlessStalled(c context.Context) error {
	if !p.request.repeatable() {
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

// settle makes an unknown result certain where the node can tell.
func (p *probe) settle(c context.Context, result Result, answer *relay.Response) Result {
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
	p.ask(c)
	switch {
	case p.verdict == nil:
		return result
	case p.verdict.Answer != nil:
		restore(answer, *p.verdict.Answer)
		result.Outcome = call.OutcomeRan
		result.Status = p.verdict.Answer.Status
	case p.verdict.Outcome == call.OutcomeNotRun:
		// the node answers and has not seen the attempt, so the connection is at fault
		result.Outcome = call.OutcomeNotRun
		result.Reason = call.ReasonSilent
		p.request.forgive()
	}

	return result
}

// ask resolves the attempt; it waits for a once operation, whose answer is remembered.
func (p *probe) ask(c context.Context) {
	for p.verdict == nil && c.Err() == nil {
		verdict, err := p.resolve(c, p.request.policy.Progress)
		switch {
		case err != nil && (!p.attempt.Once || errors.Is(err, peers.ErrUnreachable)):
			return
		case err != nil:
			sleep(c, p.request.policy.Progress)
		case verdict.InProgress() && p.attempt.Once:
		default:
			p.verdict = &verdict
		}
	}
}

func (p *probe) resolve(c context.Context, wait time.Duration) (exec.Verdict, error) {
	c, cancel := context.WithTimeout(c, resolveTimeout+wait)
	defer cancel()
	var verdict exec.Verdict
	args := exec.ResolveArgs{Attempt: p.attempt, Wait: wait}
	err := p.request.entry.control.Call(c, p.target.Control, exec.MethodResolve, args, &verdict)
	decision := trace.Decision{Step: trace.StepResolve, Chosen: p.target.ID, Outcome: verdict.Outcome, Reason: verdict.Reason, Detail: verdict.State.String()}
	if err != nil {
		decision.Outcome, decision.Reason, decision.Detail = call.OutcomeUnknown, call.ReasonConnect, noWord
	}
	p.request.decide(decision)
	p.request.entry.metrics.Tagged(map[string]string{"state": decision.Detail}).Counter("resolved").Inc(1)

	return verdict, err
}

// forgive lets the latest target be chosen again.
func (r *request) forgive() {
	if last := len(r.tried) - 1; last >= 0 {
		r.tried = r.tried[:last]
	}
}

// repeatable reports whether running the call twice does no harm.
func (r *request) repeatable() bool {
	return r.policy.Idempotent && !r.policy.Once
}

// restore makes the remembered answer the answer of the attempt.
func restore(answer *relay.Response, remembered exec.Answer) {
	answer.Close()
	answer.Stream = nil
	answer.Response.SetStatusCode(remembered.Status)
	for _, field := range remembered.Fields {
		answer.Response.Header.Set(field.Name, field.Value)
	}
	answer.Response.SetBody(remembered.Body)
}

func sleep(c context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.Done():
	}
}
