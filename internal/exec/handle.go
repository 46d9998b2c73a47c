package exec

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/scope"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/credit"
	"github.com/pistachiotack/pistachiotack/pkg/fence"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// execution is one call that the executing node is handling.
type execution struct {
	exec      *Exec
	http      *app.RequestContext
	envelope  call.Envelope
	policy    tree.Policy
	snapshot  *tree.Snapshot
	startedAt time.Time
	deadline  time.Time
	unspent   credit.Grant
	attempt   fence.Attempt
	// captured is the response of a once operation, nil until it is complete.
	captured *Response
}

// handle serves one call from a peer.
func (e *Exec) handle(c context.Context, ctx *app.RequestContext) {
	e.active.Add(1)
	defer e.active.Add(-1)

	now := time.Now()
	envelope, err := wire.Envelope(&ctx.Request.Header)
	if err != nil {
		wire.WriteRefusal(&ctx.Response, call.NewRefusal(call.OutcomeNotRun, call.ReasonBadRequest).WithDetail("%v", err), "")

		return
	}
	if envelope.Issued.IsZero() {
		envelope.Issued = now
	}
	snapshot := e.settings.Snapshot()
	header := &ctx.Request.Header
	x := &execution{
		exec:      e,
		http:      ctx,
		envelope:  envelope,
		snapshot:  snapshot,
		policy:    snapshot.Policy(e.options.DataCentre, envelope.Service, string(header.Method()), string(ctx.Request.URI().Path())),
		startedAt: now,
		deadline:  now.Add(envelope.Remaining),
		unspent:   credit.Grant{Attempts: envelope.Credits, Retries: envelope.Retries},
	}
	c, cancel := x.workContext(c)
	defer cancel()
	refusal := x.runFenced(c, cancel)
	if refusal != nil {
		x.sendRefusal(refusal)
	}
	x.countGoodput(refusal)
}

// countGoodput adds the call to the goodput, unless the settings have changed since the call began.
func (x *execution) countGoodput(refusal *call.Refusal) {
	if x.snapshot != x.exec.settings.Snapshot() {
		return
	}
	class := x.policy.Priority
	if x.snapshot.Trial() != "" {
		request := &x.http.Request
		class = x.snapshot.GuardClass(x.policy, x.exec.options.DataCentre, string(request.Header.Method()), string(request.URI().Path()))
	}
	x.exec.goodput.Record(class, x.http.Response.StatusCode(), refusal)
}

// admitAndForward waits for admission and then forwards the call to the backend server.
func (x *execution) admitAndForward(c context.Context) *call.Refusal {
	admission, refusal := x.exec.options.Admitter.Admit(c, Item{
		Envelope: x.envelope,
		Policy:   x.policy,
		Deadline: x.deadline,
		Bytes:    int64(len(x.http.Request.Body())),
	})
	if refusal != nil {
		return refusal
	}
	x.logDecision(trace.StepAdmit, call.OutcomeRan, admission.Reason, admission.Detail)
	forwardedAt := time.Now()
	completion, refusal := x.forward(c)
	completion.Latency = time.Since(forwardedAt)
	admission.Release(completion)

	return refusal
}

// checkRequest refuses a call that this node must not run.
func (x *execution) checkRequest() *call.Refusal {
	switch {
	case (x.envelope.Once || x.envelope.Incarnation != 0) && x.envelope.Incarnation != x.exec.options.Incarnation:
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonWrongIncarnation)
	case x.envelope.Service != x.exec.options.Service:
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonUnknownService).WithDetail("this node serves %q", x.exec.options.Service)
	case x.envelope.Remaining <= 0:
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonDeadline)
	default:
		return nil
	}
}

// forward runs the call on the backend server. Nested calls of the call share its credits while it runs.
func (x *execution) forward(c context.Context) (Completion, *call.Refusal) {
	if !x.exec.callTable.start(x.attempt) {
		return Completion{Load: noLoad}, call.NewRefusal(call.OutcomeNotRun, call.ReasonFenced)
	}
	opScope := &scope.Scope{
		Root:     x.envelope.Root,
		Parent:   x.envelope.Op,
		Caller:   x.envelope.Caller,
		Rank:     x.envelope.Rank,
		Depth:    x.envelope.Depth,
		Ledger:   scope.NewLedger(x.unspent, x.envelope.Depth, x.policy.Depth),
		Deadline: x.deadline,
		Snapshot: x.snapshot,
	}
	x.exec.beginOperation(x.envelope.Op, opScope)
	response := &relay.Response{}
	defer response.Close()
	x.exec.recordStart()
	sentAt := time.Now()
	err := x.exec.client.Do(c, x.exec.options.Backend, x.backendRequest(), response, relay.Limits{
		MaxBodyBytes: int(x.policy.BufferAnswer),
		Stream:       x.policy.Stream,
		Matches:      x.ownsResponse,
		Named:        namesOperation,
	})
	x.exec.recordEnd(err == nil, x.policy.Kind, time.Since(sentAt))
	x.unspent = x.exec.endOperation(x.envelope.Op, opScope)
	x.checkDraining(response)
	if err == nil && response.Stream != nil {
		return x.sendStream(response)
	}
	if err != nil {
		refusal := refusalFor(err)

		return Completion{Load: noLoad, Failed: true, DeadlineExceeded: refusal.Reason == call.ReasonDeadline}, refusal
	}

	return x.sendBuffered(response, opScope)
}

// checkDraining calls the draining callback if the response says that the backend server is draining.
func (x *execution) checkDraining(response *relay.Response) {
	if callback := x.exec.onDraining.Load(); callback != nil && wire.Draining(&response.Response.Header) {
		(*callback)()
	}
}

// refusalFor converts an error of the request to the backend server into a refusal for the entry node.
func refusalFor(err error) *call.Refusal {
	var relayErr *relay.Error
	if !errors.As(err, &relayErr) {
		return call.NewRefusal(call.OutcomeUnknown, call.ReasonBroken).WithDetail("%v", err)
	}

	refusal := call.NewRefusal(relayErr.Outcome(), relayErr.Reason).WithDetail("backend server: %v", relayErr.Cause)
	refusal.Final = relayErr.Reason == call.ReasonTooLarge

	return refusal
}

func digest(body []byte) uint64 {
	return xxhash.Sum64(body)
}
