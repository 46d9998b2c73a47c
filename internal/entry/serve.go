package entry

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/pistachiotack/pistachiotack/internal/listen"
	"github.com/pistachiotack/pistachiotack/internal/scope"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/credit"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// request is the state of one call that the entry node serves.
type request struct {
	entry     *Entry
	http      *app.RequestContext
	op        call.ID
	scope     *scope.Scope
	policy    tree.Policy
	rank      call.Rank
	startedAt time.Time
	expiresAt time.Time
	tried     []string
	attempt   int
	// mayHaveRun is true if an earlier attempt ended with an outcome other than notRun.
	mayHaveRun bool
	// home is the home of a once operation, nil if it has none and for other kinds. Attempt numbers of an operation with a home
	// start after attemptBase.
	home        *home
	attemptBase int
	// moves is the number of times that the request has moved its key to another home.
	moves int
}

// handleCaller serves a root request.
func (e *Entry) handleCaller(c context.Context, ctx *app.RequestContext) {
	e.serve(c, ctx, e.newRoot(ctx, listen.ArrivedAt(ctx)))
}

// handleBackend serves an outgoing call of the local backend server, which inherits the scope of its parent operation.
func (e *Entry) handleBackend(c context.Context, ctx *app.RequestContext) {
	parent := call.ID(ctx.Request.Header.Peek(wire.HeaderParent))
	inherited, found := e.parents.Parent(parent)
	switch {
	case found:
		e.serve(c, ctx, inherited)
	case parent == "" && e.allowsOrphans():
		e.serve(c, ctx, e.newRoot(ctx, listen.ArrivedAt(ctx)))
	default:
		refusal := call.NewRefusal(call.OutcomeNotRun, call.ReasonNoParent).
			WithDetail("no running operation %q; pass %s on", parent, wire.HeaderParent)
		wire.WriteRefusal(&ctx.Response, refusal, "")
	}
}

// newRoot creates the scope of a root request. Headers of the caller can shorten the deadline, but can't extend it or raise
// the class or the credits above those of the policy.
func (e *Entry) newRoot(ctx *app.RequestContext, now time.Time) *scope.Scope {
	snapshot := e.settings.Snapshot()
	policy := e.policy(snapshot, &ctx.Request.Header)
	budget := policy.Deadline
	if timeout := wire.Timeout(&ctx.Request.Header); timeout > 0 {
		budget = min(budget, timeout)
	}

	caller := callerOf(ctx)

	return &scope.Scope{
		Root:     call.NewRoot(),
		Caller:   caller,
		Rank:     rootRank(ctx, caller, policy, now),
		Ledger:   scope.NewLedger(credit.Grant{Attempts: policy.Attempts, Retries: policy.Retries}, 0, policy.Depth),
		Deadline: now.Add(budget),
		Snapshot: snapshot,
	}
}

func (e *Entry) serve(c context.Context, ctx *app.RequestContext, inherited *scope.Scope) {
	e.active.Add(1)
	defer e.active.Add(-1)

	now := time.Now()
	policy := e.policy(inherited.Snapshot, &ctx.Request.Header)
	r := &request{
		entry:     e,
		http:      ctx,
		op:        call.NewID(),
		scope:     inherited,
		policy:    policy,
		rank:      callRank(inherited, policy),
		startedAt: now,
		expiresAt: deadline(inherited.Deadline, ctx, now),
	}
	c, cancel := context.WithDeadline(c, r.expiresAt)
	defer cancel()
	run := r.run
	if policy.Once {
		run = r.runOnce
	}
	refusal := run(c)
	if refusal != nil {
		r.refuse(refusal)
	}
	r.countGoodput(refusal)
}

// countGoodput adds the request to the goodput, unless the settings in force have changed since it began.
func (r *request) countGoodput(refusal *call.Refusal) {
	snapshot := r.scope.Snapshot
	if snapshot != r.entry.settings.Snapshot() {
		return
	}
	class := r.policy.Priority
	if snapshot.Trial() != "" {
		request := &r.http.Request
		class = snapshot.GuardClass(r.policy, r.entry.options.DataCentre, string(request.Header.Method()), string(request.URI().Path()))
	}
	r.entry.goodput.Record(class, r.http.Response.StatusCode(), refusal)
}

// deadline returns the earlier of the inherited deadline and the one that the timeout header sets.
func deadline(inherited time.Time, ctx *app.RequestContext, now time.Time) time.Time {
	timeout := wire.Timeout(&ctx.Request.Header)
	if timeout > 0 && now.Add(timeout).Before(inherited) {
		return now.Add(timeout)
	}

	return inherited
}

func (e *Entry) policy(snapshot *tree.Snapshot, header *protocol.RequestHeader) tree.Policy {
	uri := protocol.AcquireURI()
	defer protocol.ReleaseURI(uri)
	uri.Parse(header.Host(), header.RequestURI())

	return snapshot.Policy(e.options.DataCentre, serviceOf(header), string(header.Method()), string(uri.Path()))
}

// repeatable reports whether the request may run beside others of its connection. Streams are written while they are handled, so they
// need the connection for themselves.
func (e *Entry) repeatable(header *protocol.RequestHeader) bool {
	policy := e.policy(e.settings.Snapshot(), header)

	return policy.Idempotent && !policy.Once && !policy.Stream
}

func (r *request) refuse(refusal *call.Refusal) {
	wire.WriteRefusal(&r.http.Response, refusal, r.op)
	r.setTicketHeader()
	r.scope.SetLastRefusal(refusal)
	r.logDecision(trace.Decision{Step: trace.StepRefuse, Outcome: refusal.Outcome, Reason: refusal.Reason, Detail: refusal.Detail})
	r.entry.metrics.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("refused").Inc(1)
}

func (r *request) logDecision(d trace.Decision) {
	d.Op = r.op
	d.Root = r.scope.Root
	d.Service = r.policy.Service
	d.Kind = r.policy.Kind
	d.Attempt = r.attempt
	d.Rank = r.rank
	d.Elapsed = time.Since(r.startedAt)
	d.Revision = r.scope.Snapshot.Revision()
	r.entry.tracer.Record(d)
}

// serviceOf returns the service named in the service header, or else the first label of the host.
func serviceOf(header *protocol.RequestHeader) string {
	if named := header.Peek(wire.HeaderService); len(named) > 0 {
		return string(named)
	}
	host := string(header.Host())
	label, _, _ := strings.Cut(host, ".")
	label, _, _ = strings.Cut(label, ":")

	return label
}

// callerOf returns the client account named in the caller header, or else the IP address of the caller.
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
