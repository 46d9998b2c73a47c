package entry

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pistachiotack/pistachiotack/internal/scope"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/credit"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// request is one call that the entry answers.
type request struct {
	entry   *Entry
	http    *app.RequestContext
	op      call.ID
	scope   *scope.Scope
	policy  tree.Policy
	rank    call.Rank
	started time.Time
	expires time.Time
	tried   []string
	attempt int
	// mayHaveRun says that an earlier attempt did not end as notRun.
	mayHaveRun bool
	// home pins a once operation, nil for all others; base is where its attempt numbers start.
	home  *home
	base  int
	moves int
}

// handleCaller serves a root request.
func (e *Entry) handleCaller(c context.Context, ctx *app.RequestContext) {
	e.serve(c, ctx, e.newRoot(ctx, time.Now()))
}

// handleBackend serves an outgoing call of the backend server, which inherits from its parent.
func (e *Entry) handleBackend(c context.Context, ctx *app.RequestContext) {
	parent := call.ID(ctx.Request.Header.Peek(wire.HeaderParent))
	inherited, found := e.parents.Parent(parent)
	switch {
	case found:
		e.serve(c, ctx, inherited)
	case parent == "" && e.allowsOrphans():
		e.serve(c, ctx, e.newRoot(ctx, time.Now()))
	default:
		refusal := call.NewRefusal(call.OutcomeNotRun, call.ReasonNoParent).
			WithDetail("no running operation %q; pass %s on", parent, wire.HeaderParent)
		wire.WriteRefusal(&ctx.Response, refusal, "")
	}
}

// newRoot makes the scope of a root request; nothing in the caller's headers can raise it.
func (e *Entry) newRoot(ctx *app.RequestContext, now time.Time) *scope.Scope {
	snapshot := e.settings.Snapshot()
	policy := e.policy(snapshot, ctx)
	budget := policy.Deadline
	if stated := wire.Timeout(&ctx.Request.Header); stated > 0 {
		budget = min(budget, stated)
	}

	caller := callerOf(ctx)

	return &scope.Scope{
		Root:     call.NewRoot(),
		Caller:   caller,
		Rank:     drawRank(ctx, caller, policy, now),
		Ledger:   scope.NewLedger(credit.Grant{Attempts: policy.Attempts, Retries: policy.Retries}, 0, policy.Depth),
		Deadline: now.Add(budget),
		Snapshot: snapshot,
	}
}

func (e *Entry) serve(c context.Context, ctx *app.RequestContext, inherited *scope.Scope) {
	e.active.Add(1)
	defer e.active.Add(-1)

	now := time.Now()
	policy := e.policy(inherited.Snapshot, ctx)
	r := &request{
		entry:   e,
		http:    ctx,
		op:      call.NewID(),
		scope:   inherited,
		policy:  policy,
		rank:    rankOf(inherited, policy),
		started: now,
		expires: deadline(inherited.Deadline, ctx, now),
	}
	c, cancel := context.WithDeadline(c, r.expires)
	defer cancel()
	run := r.run
	if policy.Once {
		run = r.runOnce
	}
	refusal := run(c)
	if refusal != nil {
		r.refuse(refusal)
	}
	r.count(refusal)
}

// count adds the request to the goodput, unless it began under other settings than those in force now.
func (r *request) count(refusal *call.Refusal) {
	snapshot := r.scope.Snapshot
	if snapshot != r.entry.settings.Snapshot() {
		return
	}
	class := r.policy.Priority
	if snapshot.Trial() != "" {
		request := &r.http.Request
		class = snapshot.GuardClass(r.policy, r.entry.options.DataCentre, string(request.Header.Method()), string(request.URI().Path()))
	}
	r.entry.goodput.Note(class, r.http.Response.StatusCode(), refusal)
}

// deadline returns the earlier of the inherited deadline and the one that the caller states.
func deadline(inherited time.Time, ctx *app.RequestContext, now time.Time) time.Time {
	stated := wire.Timeout(&ctx.Request.Header)
	if stated > 0 && now.Add(stated).Before(inherited) {
		return now.Add(stated)
	}

	return inherited
}

func (e *Entry) policy(snapshot *tree.Snapshot, ctx *app.RequestContext) tree.Policy {
	return snapshot.Policy(e.options.DataCentre, serviceOf(ctx), string(ctx.Request.Header.Method()), string(ctx.Request.URI().Path()))
}

func (r *request) refuse(refusal *call.Refusal) {
	wire.WriteRefusal(&r.http.Response, refusal, r.op)
	r.showTicket()
	r.scope.SetLastRefusal(refusal)
	r.decide(trace.Decision{Step: trace.StepRefuse, Outcome: refusal.Outcome, Reason: refusal.Reason, Detail: refusal.Detail})
	r.entry.metrics.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("refused").Inc(1)
}

func (r *request) decide(d trace.Decision) {
	d.Op = r.op
	d.Root = r.scope.Root
	d.Service = r.policy.Service
	d.Kind = r.policy.Kind
	d.Attempt = r.attempt
	d.Rank = r.rank
	d.Took = time.Since(r.started)
	d.Revision = r.scope.Snapshot.Revision()
	r.entry.tracer.Decide(d)
}

// serviceOf names the service by its header, or by the first label of the host.
func serviceOf(ctx *app.RequestContext) string {
	if named := ctx.Request.Header.Peek(wire.HeaderService); len(named) > 0 {
		return string(named)
	}
	host := string(ctx.Request.Header.Host())
	label, _, _ := strings.Cut(host, ".")
	label, _, _ = strings.Cut(label, ":")

	return label
}

// callerOf names the caller by its header, or by its address.
func callerOf(ctx *app.RequestContext) string {
	if named := ctx.Request.Header.Peek(wire.HeaderCaller); len(named) > 0 {
		return string(named)
	}
	host, _, err := net.SplitHostPort(ctx.RemoteAddr().String())
	if err != nil {
		return ""
	}

	return host
}
