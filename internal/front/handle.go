package front

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fanout"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

const (
	statusNotFound    = 404
	statusBadGateway  = 502
	statusUnavailable = 503
	statusTimeout     = 504
	statusFault       = 500
)

// headerKeepAlive tells clients how long they may leave a connection unused.
const headerKeepAlive = "Keep-Alive"

var keepAlive = "timeout=" + strconv.Itoa(int(clientIdle/time.Second))

const (
	// noTimeout bounds a request for which neither its client nor its route states a time.
	noTimeout = time.Minute
	// startAfter is when a client may come back to a node that knows no routes yet.
	startAfter = 500 * time.Millisecond
	// rankCalls is the queue rank of the calls of backend servers; the requests of clients stand before or behind it.
	rankCalls = 2
)

// request is one request of a client or of the backend server on this VM.
type request struct {
	front   *Front
	http    *app.RequestContext
	id      string
	route   *routes.Route
	service string
	table   *routes.Table
	origin  fanout.Origin
	arrived time.Time
	// expires is when the final answer is due; leaves is when the client stops waiting.
	expires time.Time
	leaves  time.Time
	tried   []string
	// sent is the number of attempts that reached a backend server.
	sent    int
	attempt int
	detail  string
}

func (f *Front) handle(c context.Context, ctx *app.RequestContext) {
	f.active.Add(1)
	defer f.active.Add(-1)
	r := &request{front: f, http: ctx, id: f.options.Dialect.RequestID(&ctx.Request.Header), arrived: time.Now()}
	if refusal := r.classify(); refusal != nil {
		r.refuse(refusal)

		return
	}
	if refusal := r.admit(); refusal != nil {
		r.refuse(refusal)

		return
	}
	if refusal := r.run(c); refusal != nil {
		r.refuse(refusal)
	}
}

// classify finds the route of the request, its service and its time.
func (r *request) classify() *call.Refusal {
	header := &r.http.Request.Header
	if r.front.refusing.Load() {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonDraining).WithRetryAfter(startAfter)
	}
	if r.table = r.front.rules.Table(); r.table == nil {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonWarming).WithRetryAfter(startAfter)
	}
	path, _, _ := strings.Cut(string(header.RequestURI()), "?")
	found := false
	if r.route, found = r.table.Find(string(header.Host()), path); !found {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonUnknownService)
	}
	r.service = r.front.splitter.Pick(r.table, r.route)
	remaining, stated := r.front.options.Dialect.Remaining(header)
	if !stated {
		remaining = noTimeout
	}
	r.leaves = r.arrived.Add(remaining)
	if r.route.Timeout > 0 {
		remaining = min(remaining, r.route.Timeout)
	}
	r.expires = r.arrived.Add(remaining)
	if remaining <= 0 {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonDeadline)
	}
	r.origin = r.front.demand.CountRequest(r.route.Name, r.service)

	return nil
}

// admit decides at the first hop whether the services that the whole call tree needs have room for it.
func (r *request) admit() *call.Refusal {
	r.front.countRequest(r.arrived, r.service)
	if r.origin != fanout.OriginClients {
		return nil
	}
	decision := r.front.demand.Decide(r.arrived, r.route.Name, r.service, shed.Request{
		Priority:       r.route.Priority,
		LowestPriority: r.table.LowestPriority(),
		Random:         rand.Float64(),
	})
	r.detail = "rank " + decimal(decision.Rank) + ", level " + decimal(decision.Level) + " of " + decision.Service
	if decision.Explores {
		r.detail += ", explores"
	}
	if decision.Admitted {
		return nil
	}

	return call.NewRefusal(call.OutcomeNotRun, decision.Reason).WithRetryAfter(r.comeBack())
}

// comeBack returns when a refused client may come back.
func (r *request) comeBack() time.Duration {
	back := shed.RetryAfter{Remaining: time.Until(r.leaves), Elapsed: time.Since(r.arrived), Random: rand.Float64()}
	if r.route != nil {
		back.LatencyGoal, back.UsualLatency = r.route.LatencyTarget, r.front.usualTime(r.route.Name)
	}

	return back.Delay()
}

// rank orders the request in the queue of an executing node: calls of running work go before the least important requests.
func (r *request) rank() int {
	switch {
	case r.origin != fanout.OriginClients:
		return rankCalls
	case r.route.Priority < r.table.LowestPriority():
		return min(r.route.Priority, rankCalls-1)
	default:
		return rankCalls + 1
	}
}

// pass gives the answer to the client.
func (r *request) pass(answer *relay.Response) {
	wire.ForwardResponse(&r.http.Response, &answer.Response)
	r.http.Response.Header.Set(headerKeepAlive, keepAlive)
	took := time.Since(r.arrived)
	r.front.noteTime(r.route.Name, took)
	r.front.answered.Of(r.route.Name).RecordDuration(took)
}

// refuse gives the client the final answer for a request that brought none.
func (r *request) refuse(refusal *call.Refusal) {
	status := statusOf(refusal)
	out := &r.http.Response
	out.SetStatusCode(status)
	// a client that comes back does so on a new connection, so this one would only be left idle
	out.SetConnectionClose()
	if status == statusUnavailable {
		after := refusal.RetryAfter
		if after <= 0 && !r.leaves.IsZero() {
			after = r.comeBack()
		}
		out.Header.Set(wire.HeaderRetryAfter, strconv.FormatFloat(max(after, 0).Seconds(), 'f', 2, 64))
	}
	if r.origin == fanout.OriginServers {
		r.front.demand.ObserveFailure(time.Now())
	}
	r.front.refused.Of(string(refusal.Reason)).Inc(1)
	r.decide(trace.StepRefuse, "", refusal.Outcome, refusal.Reason, r.detail+" "+refusal.Detail)
}

// statusOf keeps 503 for requests that were not run and will not be.
func statusOf(refusal *call.Refusal) int {
	switch {
	case refusal.Outcome == call.OutcomeNotRun && refusal.Reason == call.ReasonUnknownService:
		return statusNotFound
	case refusal.Outcome == call.OutcomeNotRun:
		return statusUnavailable
	case refusal.Reason == call.ReasonDeadline:
		return statusTimeout
	default:
		return statusBadGateway
	}
}

func (r *request) decide(step trace.Step, chosen string, outcome call.Outcome, reason call.Reason, detail string) {
	decision := trace.Decision{
		Step:    step,
		Op:      call.ID(r.id),
		Service: r.service,
		Attempt: r.attempt,
		Chosen:  chosen,
		Outcome: outcome,
		Reason:  reason,
		Detail:  detail,
		Took:    time.Since(r.arrived),
	}
	if r.route != nil {
		decision.Kind = r.route.Name
		decision.Revision = r.table.Version()
	}
	r.front.tracer.Decide(decision)
}

func decimal(value float64) string {
	return strconv.FormatFloat(value, 'f', 2, 64)
}
