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

// execution is one call on its way through the executing node.
type execution struct {
	exec     *Exec
	http     *app.RequestContext
	envelope call.Envelope
	policy   tree.Policy
	snapshot *tree.Snapshot
	started  time.Time
	expires  time.Time
	unspent  credit.Grant
	attempt  fence.Attempt
	// remembered is the answer of a once operation, nil until it is whole.
	remembered *Answer
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
		exec:     e,
		http:     ctx,
		envelope: envelope,
		snapshot: snapshot,
		policy:   snapshot.Policy(e.options.DataCentre, envelope.Service, string(header.Method()), string(ctx.Request.URI().Path())),
		started:  now,
		expires:  now.Add(envelope.Remaining),
		unspent:  credit.Grant{Attempts: envelope.Credits, Retries: envelope.Retries},
	}
	c, cancel := x.lifetime(c)
	defer cancel()
	refusal := x.guarded(c, cancel)
	if refusal != nil {
		x.refuse(refusal)
	}
	x.count(refusal)
}

// count adds the call to the goodput, unless it began under other settings than those in force now.
func (x *execution) count(refusal *call.Refusal) {
	if x.snapshot != x.exec.settings.Snapshot() {
		return
	}
	class := x.policy.Priority
	if x.snapshot.Trial() != "" {
		request := &x.http.Request
		class = x.snapshot.GuardClass(x.policy, x.exec.options.DataCentre, string(request.Header.Method()), string(request.URI().Path()))
	}
	x.exec.goodput.Note(class, x.http.Response.StatusCode(), refusal)
}

// run takes the call through admission to the backend server.
func (x *execution) run(c context.Context) *call.Refusal {
	admission, refusal := x.exec.options.Admitter.Admit(c, Item{
		Envelope: x.envelope,
		Policy:   x.policy,
		Expires:  x.expires,
		Bytes:    int64(len(x.http.Request.Body())),
	})
	if refusal != nil {
		return refusal
	}
	x.decide(trace.StepAdmit, call.OutcomeRan, admission.Reason, admission.Detail)
	began := time.Now()
	finished, refusal := x.forward(c)
	finished.Took = time.Since(began)
	admission.Release(finished)

	return refusal
}

// check refuses what this node must not run.
func (x *execution) check() *call.Refusal {
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

// forward runs the call on the backend server, while its outgoing calls may use the sub-grant.
func (x *execution) forward(c context.Context) (Finished, *call.Refusal) {
	if !x.exec.callTable.start(x.attempt) {
		return Finished{Load: noLoad}, call.NewRefusal(call.OutcomeNotRun, call.ReasonFenced)
	}
	running := &scope.Scope{
		Root:     x.envelope.Root,
		Parent:   x.envelope.Op,
		Caller:   x.envelope.Caller,
		Rank:     x.envelope.Rank,
		Depth:    x.envelope.Depth,
		Ledger:   scope.NewLedger(x.unspent, x.envelope.Depth, x.policy.Depth),
		Deadline: x.expires,
		Snapshot: x.snapshot,
	}
	x.exec.enter(x.envelope.Op, running)
	answer := &relay.Response{}
	defer answer.Close()
	x.exec.began()
	sent := time.Now()
	err := x.exec.client.Do(c, x.exec.options.Backend, x.outgoing(), answer, relay.Limits{
		MaxBodyBytes: int(x.policy.BufferAnswer),
		Stream:       x.policy.Stream,
	})
	x.exec.ended(err == nil, x.policy.Kind, time.Since(sent))
	x.unspent = x.exec.leave(x.envelope.Op, running)
	x.heed(answer)
	if err == nil && answer.Stream != nil {
		return x.passStream(answer)
	}
	if err != nil {
		refusal := refusalOf(err)

		return Finished{Load: noLoad, Broken: true, Late: refusal.Reason == call.ReasonDeadline}, refusal
	}

	return x.passBuffered(answer, running)
}

// heed passes on that the backend server is leaving.
func (x *execution) heed(answer *relay.Response) {
	if leaving := x.exec.leaving.Load(); leaving != nil && wire.Draining(&answer.Response.Header) {
		(*leaving)()
	}
}

// refusalOf turns a failed attempt on the backend server into what the entry is told.
func refusalOf(err error) *call.Refusal {
	var fault *relay.Error
	if !errors.As(err, &fault) {
		return call.NewRefusal(call.OutcomeUnknown, call.ReasonBroken).WithDetail("%v", err)
	}

	refusal := call.NewRefusal(fault.Outcome(), fault.Reason).WithDetail("backend server: %v", fault.Cause)
	refusal.Final = fault.Reason == call.ReasonTooLarge

	return refusal
}

func digest(body []byte) uint64 {
	return xxhash.Sum64(body)
}
