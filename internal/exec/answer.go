package exec

import (
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/scope"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// noLoad stands for a backend server that made no report.
const noLoad = -1

// streamWindow is the number of bytes passed on at once.
const streamWindow = 32 << 10

// outgoing builds the request to the backend server.
func (x *execution) outgoing() *protocol.Request {
	in := &x.http.Request
	out := &protocol.Request{}
	out.Header.SetMethodBytes(in.Header.Method())
	out.Header.SetRequestURIBytes(in.Header.RequestURI())
	wire.CopyRequestHeaders(&out.Header, &in.Header)
	out.Header.SetHostBytes(in.Header.Host())
	out.Header.Set(wire.HeaderParent, string(x.envelope.Op))
	out.Header.Set(wire.HeaderOperation, string(x.envelope.Op))
	out.Header.Set(wire.HeaderTimeout, time.Until(x.expires).Round(time.Millisecond).String())
	out.SetBodyRaw(in.Body())

	return out
}

// passBuffered sends a whole answer back, or tells that the backend server refused the call itself.
func (x *execution) passBuffered(answer *relay.Response, running *scope.Scope) (Finished, *call.Refusal) {
	status := answer.Response.StatusCode()
	finished := Finished{Load: noLoad, Status: status, Late: status == statusLate, Bytes: int64(len(answer.Response.Body()))}
	header := &answer.Response.Header
	if load, reported := wire.Load(header); reported {
		finished.Load = load
	}
	if string(header.Peek(wire.HeaderOutcome)) == string(call.OutcomeNotRun) {
		finished.Shed = true

		return finished, x.shed()
	}
	body := answer.Response.Body()
	out := &x.http.Response
	out.SetStatusCode(status)
	wire.CopyResponseHeaders(&out.Header, header)
	out.SetBody(body)
	wire.CopyContentLength(out, &answer.Response)
	x.remember()
	feedback := call.Feedback{Outcome: call.OutcomeRan, Reason: call.ReasonOK, Digest: digest(body)}
	if refused := running.LastRefusal(); refused != nil && status >= statusFault {
		feedback.Final = true
		feedback.Reason = refused.Reason
		feedback.RetryAfter = refused.RetryAfter
		finished.Below = refused.Threshold
	}
	x.feedback(feedback)

	return finished, nil
}

// shed passes on that the backend server refused the call; if calls below were made, nobody above may try again.
func (x *execution) shed() *call.Refusal {
	refusal := call.NewRefusal(call.OutcomeNotRun, call.ReasonBackendShed)
	if x.unspent.Attempts < x.envelope.Credits {
		return refusal.WithFinal()
	}

	return refusal
}

// passStream sends an archive back in windows; if it breaks, the connection is cut.
func (x *execution) passStream(answer *relay.Response) (Finished, *call.Refusal) {
	out := &x.http.Response
	out.SetStatusCode(answer.Response.StatusCode())
	wire.CopyResponseHeaders(&out.Header, &answer.Response.Header)
	x.feedback(call.Feedback{Outcome: call.OutcomeRan, Reason: call.ReasonOK})
	writer := relay.NewBodyWriter(x.http, answer.Stream.Length)
	_, err := io.CopyBuffer(onlyWriter{writer}, onlyReader{answer.Stream}, make([]byte, streamWindow))
	if err != nil {
		writer.Abort()
		x.decide(trace.StepAttempt, call.OutcomeUnknown, call.ReasonTorn, errors.Wrap(err, "pass stream on").Error())

		return Finished{Load: noLoad, Broken: true}, nil
	}

	return Finished{Load: noLoad}, nil
}

// refuse sends a refusal with its feedback.
func (x *execution) refuse(refusal *call.Refusal) {
	wire.WriteRefusal(&x.http.Response, refusal, x.envelope.Op)
	x.feedback(call.Feedback{
		Outcome:    refusal.Outcome,
		Reason:     refusal.Reason,
		RetryAfter: refusal.RetryAfter,
		Final:      refusal.Final,
	})
	x.decide(trace.StepRefuse, refusal.Outcome, refusal.Reason, refusal.Detail)
	x.exec.metrics.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("refused").Inc(1)
}

// feedback completes and sends what the entry learns of this node.
func (x *execution) feedback(feedback call.Feedback) {
	pressure := x.exec.options.Admitter.Pressure(x.policy.Kind)
	feedback.Op = x.envelope.Op
	feedback.Attempt = x.envelope.Attempt
	feedback.Unspent = x.unspent.Attempts
	feedback.UnspentRetries = x.unspent.Retries
	feedback.Threshold = pressure.Threshold
	feedback.KindThreshold = pressure.KindThreshold
	feedback.Inflight = pressure.Inflight
	feedback.Queued = pressure.Queued
	feedback.Limit = pressure.Limit
	feedback.State = string(x.exec.State())
	feedback.Incarnation = x.exec.options.Incarnation
	feedback.Revision = x.snapshot.Revision()
	if err := wire.SetFeedback(&x.http.Response.Header, feedback); err != nil {
		x.decide(trace.StepAttempt, feedback.Outcome, feedback.Reason, err.Error())
	}
}

func (x *execution) decide(step trace.Step, outcome call.Outcome, reason call.Reason, detail string) {
	x.exec.tracer.Decide(trace.Decision{
		Step:     step,
		Op:       x.envelope.Op,
		Root:     x.envelope.Root,
		Service:  x.envelope.Service,
		Kind:     x.policy.Kind,
		Attempt:  x.envelope.Attempt,
		Rank:     x.envelope.Rank,
		Outcome:  outcome,
		Reason:   reason,
		Detail:   detail,
		Took:     time.Since(x.started),
		Revision: x.snapshot.Revision(),
	})
}

// onlyWriter and onlyReader keep io.CopyBuffer to the windows of its buffer.
type onlyWriter struct{ io.Writer }

type onlyReader struct{ io.Reader }
