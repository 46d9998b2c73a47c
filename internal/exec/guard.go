package exec

import (
	"context"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fence"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// AttemptOf returns what identifies the attempt of an envelope, or the refusal of a once operation without a time.
func AttemptOf(envelope call.Envelope) (fence.Attempt, *call.Refusal) {
	a := fence.Attempt{
		Op:          envelope.Op,
		Number:      envelope.Attempt,
		Issued:      envelope.Issued,
		Once:        envelope.Once,
		Incarnation: envelope.Incarnation,
	}
	if !a.Once {
		return a, nil
	}
	opened, err := a.Op.CreatedAt()
	if err != nil {
		return a, call.NewRefusal(call.OutcomeNotRun, call.ReasonBadRequest).WithDetail("%v", err)
	}
	a.Opened = opened

	return a, nil
}

// lifetime returns the context of the work: a once operation goes on when its caller has hung up.
func (x *execution) lifetime(c context.Context) (context.Context, context.CancelFunc) {
	if x.envelope.Once {
		c = context.WithoutCancel(c)
	}

	return context.WithDeadline(c, x.expires)
}

// guarded runs the call if the fence admits it, or gives what is known of it.
func (x *execution) guarded(c context.Context, cancel context.CancelFunc) *call.Refusal {
	if refusal := x.check(); refusal != nil {
		return x.beforeFence(refusal)
	}
	var refusal *call.Refusal
	if x.attempt, refusal = AttemptOf(x.envelope); refusal != nil {
		return refusal
	}
	for {
		verdict := x.arrive(cancel)
		switch {
		case verdict.Admitted():
			return x.settle(x.run(c))
		case verdict.Answer != nil:
			x.passRemembered(*verdict.Answer)

			return nil
		case x.envelope.Once && verdict.InProgress() && c.Err() == nil:
			x.exec.callTable.wait(c, x.envelope.Op)
		default:
			return call.NewRefusal(verdict.Outcome, verdict.Reason).WithDetail("attempt is %s", verdict.State)
		}
	}
}

// beforeFence keeps a refusal that did not ask the fence from saying that a once operation was not run.
func (x *execution) beforeFence(refusal *call.Refusal) *call.Refusal {
	if x.envelope.Once {
		refusal.Outcome = call.OutcomeUnknown
	}

	return refusal
}

// arrive asks the fence; a node that drains or has no backend server yet only gives what it already knows.
func (x *execution) arrive(cancel context.CancelFunc) Verdict {
	callTable := x.exec.callTable
	if state := x.exec.State(); state != member.StateDraining && state != member.StateStarting {
		return callTable.arrive(time.Now(), x.attempt, x.policy.AnswerMemory, cancel)
	}
	verdict := callTable.resolve(time.Now(), x.attempt)
	if verdict.Outcome == call.OutcomeNotRun {
		verdict.Reason = closedReason(x.exec.State())
	}

	return verdict
}

// closedReason says why a node takes no calls.
func closedReason(state member.State) call.Reason {
	if state == member.StateStarting {
		return call.ReasonWarming
	}

	return call.ReasonDraining
}

// settle tells the fence how the attempt ended.
func (x *execution) settle(refusal *call.Refusal) *call.Refusal {
	if refusal != nil && refusal.Outcome == call.OutcomeNotRun {
		x.exec.callTable.refuse(x.attempt)

		return refusal
	}
	x.exec.callTable.finish(x.attempt, x.remembered)
	if x.remembered != nil {
		x.exec.records.Record(x.envelope.Op, *x.remembered)
	}

	return refusal
}

// remember keeps the answer of a once operation before it goes out.
func (x *execution) remember() {
	if !x.envelope.Once {
		return
	}
	out := &x.http.Response
	answer := &Response{Status: out.StatusCode(), Body: append([]byte(nil), out.Body()...)}
	out.Header.VisitAll(func(name, value []byte) {
		if wire.Forwarded(string(name)) {
			answer.Fields = append(answer.Fields, Field{Name: string(name), Value: string(value)})
		}
	})
	x.remembered = answer
}

// passRemembered gives an answer that an earlier attempt brought.
func (x *execution) passRemembered(answer Response) {
	out := &x.http.Response
	out.SetStatusCode(answer.Status)
	for _, field := range answer.Fields {
		out.Header.Set(field.Name, field.Value)
	}
	out.SetBody(answer.Body)
	x.feedback(call.Feedback{Outcome: call.OutcomeRan, Reason: call.ReasonDuplicate, Digest: digest(answer.Body)})
	x.exec.metrics.Counter("remembered").Inc(1)
	x.decide(trace.StepResolve, call.OutcomeRan, call.ReasonDuplicate, "answer of an earlier attempt")
}
