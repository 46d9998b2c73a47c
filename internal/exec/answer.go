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

// noLoad is the Completion.Load of a call whose response reports no load.
const noLoad = -1

// streamBufferBytes is the size of the buffer through which a stream is copied.
const streamBufferBytes = 32 << 10

// backendRequest builds the request to the backend server.
func (x *execution) backendRequest() *protocol.Request {
	in := &x.http.Request
	out := &protocol.Request{}
	out.Header.SetMethodBytes(in.Header.Method())
	out.Header.SetRequestURIBytes(in.Header.RequestURI())
	wire.CopyRequestHeaders(&out.Header, &in.Header)
	out.Header.SetHostBytes(in.Header.Host())
	wire.SetField(&out.Header, wire.HeaderParent, string(x.envelope.Op))
	wire.SetField(&out.Header, wire.HeaderOperation, string(x.envelope.Op))
	wire.SetField(&out.Header, wire.HeaderTimeout, time.Until(x.deadline).Round(time.Millisecond).String())
	out.SetBodyRaw(in.Body())

	return out
}

// ownsResponse reports whether a response of the backend server belongs to this call; one that names no operation is assumed to.
func (x *execution) ownsResponse(header *protocol.ResponseHeader) bool {
	return !namesOperation(header) || string(header.Peek(wire.HeaderOperation)) == string(x.envelope.Op)
}

// namesOperation reports whether a response names the operation that it belongs to.
func namesOperation(header *protocol.ResponseHeader) bool {
	return len(header.Peek(wire.HeaderOperation)) > 0
}

// sendBuffered sends a buffered response to the peer, or returns a refusal if the backend server refused the call.
func (x *execution) sendBuffered(response *relay.Response, opScope *scope.Scope) (Completion, *call.Refusal) {
	status := response.Response.StatusCode()
	completion := Completion{Load: noLoad, Status: status, DeadlineExceeded: status == statusGatewayTimeout, Bytes: int64(len(response.Response.Body()))}
	header := &response.Response.Header
	if load, reported := wire.Load(header); reported {
		completion.Load = load
	}
	if refused(status, header) {
		completion.Shed = true

		return completion, x.backendRefusal()
	}
	body := response.Response.Body()
	out := &x.http.Response
	out.SetStatusCode(status)
	wire.CopyResponseHeaders(&out.Header, header)
	out.SetBody(body)
	wire.CopyContentLength(out, &response.Response)
	x.captureResponse()
	feedback := call.Feedback{Outcome: call.OutcomeRan, Reason: call.ReasonOK, Digest: digest(body)}
	if refusal := opScope.LastRefusal(); refusal != nil && status >= statusServerError {
		feedback.Final = true
		feedback.Reason = refusal.Reason
		feedback.RetryAfter = refusal.RetryAfter
		completion.DownstreamThreshold = refusal.Threshold
	}
	x.setFeedback(feedback)

	return completion, nil
}

// refused reports whether the backend server states that it refused the call. The statement needs a status that refuses, since a handler
// may copy the header from the response to a call of its own.
func refused(status int, header *protocol.ResponseHeader) bool {
	refuses := status == statusTooManyRequests || status >= statusServerError

	return refuses && string(header.Peek(wire.HeaderOutcome)) == string(call.OutcomeNotRun)
}

// backendRefusal returns the refusal for a call that the backend server refused. If nested calls have spent credits, it is final:
// no node may retry the call.
func (x *execution) backendRefusal() *call.Refusal {
	refusal := call.NewRefusal(call.OutcomeNotRun, call.ReasonBackendShed)
	if x.unspent.Attempts < x.envelope.Credits {
		return refusal.WithFinal()
	}

	return refusal
}

// sendStream copies a streamed response to the peer. If that fails, it cuts the connection, as the status is already sent.
func (x *execution) sendStream(response *relay.Response) (Completion, *call.Refusal) {
	out := &x.http.Response
	out.SetStatusCode(response.Response.StatusCode())
	wire.CopyResponseHeaders(&out.Header, &response.Response.Header)
	x.setFeedback(call.Feedback{Outcome: call.OutcomeRan, Reason: call.ReasonOK})
	writer := relay.NewBodyWriter(x.http, response.Stream.Length)
	_, err := io.CopyBuffer(onlyWriter{writer}, onlyReader{response.Stream}, make([]byte, streamBufferBytes))
	if err != nil {
		writer.Abort()
		x.logDecision(trace.StepAttempt, call.OutcomeUnknown, call.ReasonTorn, errors.Wrap(err, "forward stream").Error())

		return Completion{Load: noLoad, Failed: true}, nil
	}

	return Completion{Load: noLoad}, nil
}

// sendRefusal sends a refusal with its feedback.
func (x *execution) sendRefusal(refusal *call.Refusal) {
	wire.WriteRefusal(&x.http.Response, refusal, x.envelope.Op)
	x.setFeedback(call.Feedback{
		Outcome:    refusal.Outcome,
		Reason:     refusal.Reason,
		RetryAfter: refusal.RetryAfter,
		Final:      refusal.Final,
	})
	x.logDecision(trace.StepRefuse, refusal.Outcome, refusal.Reason, refusal.Detail)
	x.exec.metrics.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("refused").Inc(1)
}

// setFeedback adds the load and the state of this node to the feedback and writes it to the response header.
func (x *execution) setFeedback(feedback call.Feedback) {
	load := x.exec.options.Admitter.Load(x.policy.Kind)
	feedback.Op = x.envelope.Op
	feedback.Attempt = x.envelope.Attempt
	feedback.Unspent = x.unspent.Attempts
	feedback.UnspentRetries = x.unspent.Retries
	feedback.Threshold = load.Threshold
	feedback.KindThreshold = load.KindThreshold
	feedback.Inflight = load.Inflight
	feedback.Queued = load.Queued
	feedback.Limit = load.Limit
	feedback.State = string(x.exec.State())
	feedback.Incarnation = x.exec.options.Incarnation
	feedback.Revision = x.snapshot.Revision()
	if err := wire.SetFeedback(&x.http.Response.Header, feedback); err != nil {
		x.logDecision(trace.StepAttempt, feedback.Outcome, feedback.Reason, err.Error())
	}
}

func (x *execution) logDecision(step trace.Step, outcome call.Outcome, reason call.Reason, detail string) {
	x.exec.tracer.Record(trace.Decision{
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
		Elapsed:  time.Since(x.startedAt),
		Revision: x.snapshot.Revision(),
	})
}

// onlyWriter and onlyReader hide ReadFrom and WriteTo, so that io.CopyBuffer copies through its buffer.
type onlyWriter struct{ io.Writer }

type onlyReader struct{ io.Reader }
