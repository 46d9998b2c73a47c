package front

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/pistachiotack/pistachiotack/internal/listen"
	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fanout"
	"github.com/pistachiotack/pistachiotack/pkg/reply"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

const (
	statusServerError = 500
	statusUnavailable = 503
)

// headerKeepAlive is the header that states the idle timeout of a connection to the client.
const headerKeepAlive = "Keep-Alive"

// keepAlive returns the value of headerKeepAlive under an idle timeout of the operators, zero for none.
func keepAlive(idleTimeout time.Duration) string {
	timeout := clientIdleTimeout
	if idleTimeout > 0 {
		timeout = min(timeout, time.Duration(maxIdleShare*float64(idleTimeout)))
	}

	return "timeout=" + strconv.Itoa(int(timeout/time.Second))
}

const (
	// defaultTimeout applies to a request for which neither the client nor the route states a timeout.
	defaultTimeout = time.Minute
	// notReadyRetryAfter is the Retry-After of a node that is draining or has no routes yet.
	notReadyRetryAfter = 500 * time.Millisecond
	// rankServerCalls is the queue rank of calls from backend servers; requests of clients have a lower or a higher rank.
	rankServerCalls = 2
)

// request is one request of a client on this VM or of the local backend server.
type request struct {
	front     *Front
	http      *app.RequestContext
	id        string
	route     *routes.Route
	service   string
	table     *routes.Table
	origin    fanout.Origin
	arrivedAt time.Time
	// deadline is when the final response is due; clientDeadline is when the client stops waiting.
	deadline       time.Time
	clientDeadline time.Time
	tried          []string
	// dispatched is the number of attempts that ran on a backend server or may have.
	dispatched int
	attempt    int
	detail     string
	// responseBytes is the number of bytes reserved for the response or held by it.
	responseBytes int
}

func (f *Front) handle(c context.Context, ctx *app.RequestContext) {
	r := &request{front: f, http: ctx, id: f.options.Dialect.RequestID(&ctx.Request.Header), arrivedAt: listen.ArrivedAt(ctx)}
	if refusal := r.classify(); refusal != nil {
		r.refuse(refusal)

		return
	}
	if refusal := r.admit(); refusal != nil {
		r.refuse(refusal)

		return
	}
	if refusal := r.reserveResponse(); refusal != nil {
		r.refuse(refusal)

		return
	}
	if refusal := r.run(c); refusal != nil {
		r.refuse(refusal)
	}
}

// classify finds the route and the service of the request, and sets its deadlines.
func (r *request) classify() *call.Refusal {
	header := &r.http.Request.Header
	if r.front.refusing.Load() {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonDraining).WithRetryAfter(notReadyRetryAfter)
	}
	if r.table = r.front.rules.Table(); r.table == nil {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonWarming).WithRetryAfter(notReadyRetryAfter)
	}
	found := false
	if r.route, found = findRoute(r.table, header); !found {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonUnknownService)
	}
	r.service = r.front.splitter.Pick(r.table, r.route)
	remaining, stated := r.front.options.Dialect.Remaining(header)
	if !stated {
		remaining = defaultTimeout
	}
	r.clientDeadline = r.arrivedAt.Add(remaining)
	if r.route.Timeout > 0 {
		remaining = min(remaining, r.route.Timeout)
	}
	r.deadline = r.arrivedAt.Add(remaining)
	if remaining <= 0 {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonDeadline)
	}
	if r.front.end.Load().Excludes(time.Now(), r.deadline) {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonDraining).WithRetryAfter(notReadyRetryAfter)
	}
	r.origin = r.front.demand.CountRequest(r.route.Name, r.service)

	return nil
}

// findRoute returns the route of the request, false if there is none.
func findRoute(table *routes.Table, header *protocol.RequestHeader) (*routes.Route, bool) {
	path, _, _ := strings.Cut(string(header.RequestURI()), "?")

	return table.Find(string(header.Host()), path)
}

// repeatable reports whether the request is on a route in force whose requests may run more than once.
func (f *Front) repeatable(header *protocol.RequestHeader) bool {
	table := f.rules.Table()
	if table == nil {
		return false
	}
	found, ok := findRoute(table, header)

	return ok && found.Idempotency == routes.Idempotent
}

// admit decides whether the services that the whole call tree needs have capacity for it. The decision is made at the first hop:
// calls from backend servers and requests of unknown origin are admitted without it.
func (r *request) admit() *call.Refusal {
	r.front.countRequest(r.arrivedAt, r.service)
	if r.origin != fanout.OriginClients {
		return nil
	}
	decision := r.front.demand.Decide(r.arrivedAt, r.route.Name, r.service, shed.Request{
		Priority:       r.route.Priority,
		LowestPriority: r.table.LowestPriority(),
		Random:         rand.Float64(),
	})
	r.detail = describeDecision(decision)
	if decision.Admitted {
		return nil
	}

	return call.NewRefusal(call.OutcomeNotRun, decision.Reason).WithRetryAfter(r.retryAfter())
}

// describeDecision formats an admission decision for the decision log.
func describeDecision(decision shed.Decision) string {
	detail := "rank " + decimal(decision.Rank) + ", level " + decimal(decision.Level) + " of " + decision.Service
	switch {
	case decision.Service == "":
	case decision.Unknown:
		detail += " (calls unknown)"
	default:
		detail += " (weight " + decimal(decision.Weight) + ")"
	}
	if decision.Explores {
		detail += ", explores"
	}

	return detail
}

// reserveResponse reserves memory for the response, or returns the refusal if there is too little. Calls from backend servers belong to
// requests that are already running and are not refused.
func (r *request) reserveResponse() *call.Refusal {
	f := r.front
	if r.origin == fanout.OriginServers {
		return nil
	}
	f.mu.Lock()
	bytes, admitted := f.unread.Begin(r.route.Name)
	held := f.unread.Held()
	f.mu.Unlock()
	if !admitted {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonBufferFull).
			WithDetail("%d B of responses are not read", held).WithRetryAfter(r.retryAfter())
	}
	r.responseBytes = bytes
	listen.OnSent(r.http, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.unread.End(r.responseBytes)
	})

	return nil
}

// retryAfter returns the time after which a refused client may retry.
func (r *request) retryAfter() time.Duration {
	retryAfter := shed.RetryAfter{Remaining: time.Until(r.clientDeadline), Elapsed: time.Since(r.arrivedAt), Random: rand.Float64()}
	if r.route != nil {
		retryAfter.LatencyTarget, retryAfter.UsualLatency = r.route.LatencyTarget, r.front.usualLatency(r.route.Name)
	}

	return retryAfter.Delay()
}

// rank returns the rank of the request in the queue of the executing node, which serves the lowest rank first. Calls from backend
// servers belong to requests that are already running, so they are served before the client requests of the lowest priority.
func (r *request) rank() int {
	switch {
	case r.origin != fanout.OriginClients:
		return rankServerCalls
	case r.route.Priority < r.table.LowestPriority():
		return min(r.route.Priority, rankServerCalls-1)
	default:
		return rankServerCalls + 1
	}
}

// respond sends the response to the client.
func (r *request) respond(response *relay.Response) {
	wire.ForwardResponse(&r.http.Response, &response.Response)
	wire.SetField(&r.http.Response.Header, headerKeepAlive, keepAlive(r.table.Limits().IdleTimeout))
	if r.origin == fanout.OriginServers && response.Response.StatusCode() >= statusServerError {
		r.front.demand.ObserveFailure(time.Now(), r.route.Name, r.service)
	}
	latency := time.Since(r.arrivedAt)
	r.front.observeLatency(r.route.Name, latency)
	if r.origin != fanout.OriginServers {
		r.front.holdResponse(r)
	}
	r.front.responseLatency.WithTag(r.route.Name).RecordDuration(latency)
}

// refuse responds to the client with an error status.
func (r *request) refuse(refusal *call.Refusal) {
	status := reply.Status(refusal)
	out := &r.http.Response
	out.SetStatusCode(status)
	// clients retry on a new connection, so this one would only stay idle
	out.SetConnectionClose()
	detail := r.detail + " " + refusal.Detail
	if status == statusUnavailable {
		after := refusal.RetryAfter
		if after <= 0 && !r.clientDeadline.IsZero() {
			after = r.retryAfter()
		}
		seconds := decimal(max(after, 0).Seconds())
		wire.SetField(&out.Header, wire.HeaderRetryAfter, seconds)
		detail += ", retry after " + seconds + " s"
	}
	if r.origin == fanout.OriginServers {
		r.front.demand.ObserveFailure(time.Now(), r.route.Name, r.service)
	}
	r.front.refused.WithTag(string(refusal.Reason)).Inc(1)
	r.traceDecision(trace.StepRefuse, "", refusal.Outcome, refusal.Reason, detail)
}

func (r *request) traceDecision(step trace.Step, chosen string, outcome call.Outcome, reason call.Reason, detail string) {
	decision := trace.Decision{
		Step:    step,
		Op:      call.ID(r.id),
		Service: r.service,
		Attempt: r.attempt,
		Chosen:  chosen,
		Outcome: outcome,
		Reason:  reason,
		Detail:  detail,
		Elapsed: time.Since(r.arrivedAt),
	}
	if r.table != nil {
		decision.Revision = r.table.Version()
	}
	if r.route != nil {
		decision.Kind = r.route.Name
	}
	r.front.tracer.Record(decision)
}

func decimal(value float64) string {
	return strconv.FormatFloat(value, 'f', 2, 64)
}
