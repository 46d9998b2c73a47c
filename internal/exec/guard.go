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

// AttemptOf returns the attempt that an envelope describes, or a refusal if the ID of a once operation has no creation time.
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
	createdAt, err := a.Op.CreatedAt()
	if err != nil {
		return a, call.NewRefusal(call.OutcomeNotRun, call.ReasonBadRequest).WithDetail("%v", err)
	}
	a.Opened = createdAt

	return a, nil
}

// workContext returns the context in which the call runs. A once operation continues after its caller has disconnected.
func (x *execution) workContext(c context.Context) (context.Context, context.CancelFunc) {
	if x.envelope.Once {
		c = context.WithoutCancel(c)
	}

	return context.WithDeadline(c, x.deadline)
}

// runFenced runs the call if the fence admits it. Otherwise it sends the remembered response or returns a refusal.
func (x *execution) runFenced(c context.Context, cancel context.CancelFunc) *call.Refusal {
	if refusal := x.checkRequest(); refusal != nil {
		return x.unfencedRefusal(refusal)
	}
	var refusal *call.Refusal
	if x.attempt, refusal = AttemptOf(x.envelope); refusal != nil {
		return refusal
	}
	for {
		verdict := x.admitAttempt(cancel)
		switch {
		case verdict.Admitted():
			return x.settle(x.admitAndForward(c))
		case verdict.Answer != nil:
			x.replayResponse(*verdict.Answer)

			return nil
		case x.envelope.Once && verdict.InProgress() && c.Err() == nil:
			x.exec.callTable.wait(c, x.envelope.Op)
		default:
			return call.NewRefusal(verdict.Outcome, verdict.Reason).WithDetail("attempt is %s", verdict.State)
		}
	}
}

// unfencedRefusal sets the outcome of a refusal made before the fence was asked: unknown for a once operation, of which an earlier
// attempt may have run.
func (x *execution) unfencedRefusal(refusal *call.Refusal) *call.Refusal {
	if x.envelope.Once {
		refusal.Outcome = call.OutcomeUnknown
	}

	return refusal
}

// admitAttempt submits the attempt to the fence. A node that is starting or draining admits no attempt, but resolves it, which
// fences an attempt that is new.
func (x *execution) admitAttempt(cancel context.CancelFunc) Verdict {
	callTable := x.exec.callTable
	if state := x.exec.State(); state != member.StateDraining && state != member.StateStarting {
		return callTable.admit(time.Now(), x.attempt, x.policy.AnswerMemory, cancel)
	}
	verdict := callTable.resolve(time.Now(), x.attempt)
	if verdict.Outcome == call.OutcomeNotRun {
		verdict.Reason = unavailableReason(x.exec.State())
	}

	return verdict
}

// unavailableReason returns the reason for which a node in the given state refuses calls.
func unavailableReason(state member.State) call.Reason {
	if state == member.StateStarting {
		return call.ReasonWarming
	}

	return call.ReasonDraining
}

// settle records in the fence how the attempt ended, and hands the captured response to the recorder.
func (x *execution) settle(refusal *call.Refusal) *call.Refusal {
	if refusal != nil && refusal.Outcome == call.OutcomeNotRun {
		x.exec.callTable.refuse(x.attempt)

		return refusal
	}
	x.exec.callTable.finish(x.attempt, x.captured)
	if x.captured != nil {
		x.exec.recorder.Record(x.envelope.Op, *x.captured)
	}

	return refusal
}

// captureResponse copies the response of a once operation before it is sent.
func (x *execution) captureResponse() {
	if !x.envelope.Once {
		return
	}
	out := &x.http.Response
	response := &Response{Status: out.StatusCode(), Body: append([]byte(nil), out.Body()...)}
	out.Header.VisitAll(func(name, value []byte) {
		if wire.Forwarded(string(name)) {
			response.Fields = append(response.Fields, Field{Name: string(name), Value: string(value)})
		}
	})
	x.captured = response
}

// replayResponse sends the response of an earlier attempt.
func (x *execution) replayResponse(response Response) {
	response.Fill(&x.http.Response)
	x.setFeedback(call.Feedback{Outcome: call.OutcomeRan, Reason: call.ReasonDuplicate, Digest: digest(response.Body)})
	x.exec.metrics.Counter("remembered").Inc(1)
	x.logDecision(trace.StepResolve, call.OutcomeRan, call.ReasonDuplicate, "response of an earlier attempt")
}
