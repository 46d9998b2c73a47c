package guard

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/beat"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fanout"
	"github.com/pistachiotack/pistachiotack/pkg/fatal"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/queue"
)

// minServerError is the lowest HTTP status that counts as a failure of the backend server.
const minServerError = 500

// execution is one call to the local backend server.
type execution struct {
	guard     *Guard
	hop       wire.Hop
	in        *protocol.Request
	id        string
	startedAt time.Time
	origin    fanout.Origin
	// process is the ID of the only backend server process that may run the call.
	process string
	// fatalID is the ID that equal requests have, nil until it is needed.
	fatalID *fatal.ID
	// failure is the error of the attempt at the backend server, nil if there is none.
	failure error
}

// Run executes a call, fills the response, and reports the outcome: ran, notRun (refused, and certainly not run) or unknown. The
// response is empty unless the call ran.
func (g *Guard) Run(c context.Context, hop wire.Hop, in *protocol.Request, response *relay.Response) wire.Report {
	g.active.Add(1)
	defer g.active.Add(-1)
	x := &execution{guard: g, hop: hop, in: in, id: g.options.Dialect.RequestID(&in.Header), startedAt: time.Now()}
	report := x.run(c, response)
	if report.Outcome != call.OutcomeRan {
		response.Close()
		x.traceFailure(report)
	}

	return x.completeReport(report)
}

func (x *execution) run(c context.Context, response *relay.Response) wire.Report {
	refused := func(reason call.Reason) wire.Report {
		return wire.Report{Outcome: call.OutcomeNotRun, Reason: reason}
	}
	if reason := x.refusalReason(); reason != "" {
		return refused(reason)
	}
	deadline := x.startedAt.Add(x.hop.Remaining)
	if x.guard.end.Load().Excludes(x.startedAt, deadline) {
		return refused(reasonDraining)
	}
	endTurn, reason := x.waitForTurn(c, deadline)
	if reason != "" {
		return refused(reason)
	}
	defer endTurn()
	if reason := x.waitForSlot(c, deadline); reason != call.ReasonOK {
		return refused(reason)
	}
	defer x.releaseSlot()
	if x.process, reason = x.currentProcess(); reason != "" {
		return refused(reason)
	}
	if x.verdict() == fatal.VerdictKnown {
		return refused(call.ReasonQuarantined)
	}
	if x.hop.Once {
		c = x.guard.callContext
	}
	x.origin = x.guard.demand.CountExecution(x.hop, int(x.guard.services.Load()))

	return x.forward(c, deadline, response)
}

// refusalReason returns why the node accepts no calls to the requested service, empty if it does.
func (x *execution) refusalReason() call.Reason {
	g := x.guard
	if g.draining.Load() {
		return reasonDraining
	}
	if x.hop.Service != g.options.Service {
		return call.ReasonWrongIncarnation
	}
	g.mu.Lock()
	defer g.mu.Unlock()

	return reasonForState(g.backend.State())
}

func reasonForState(state beat.State) call.Reason {
	switch state {
	case beat.StateReady:
		return ""
	case beat.StateDraining:
		return reasonDraining
	case beat.StateLost:
		return reasonLost
	case beat.StateAbsent:
	}

	return call.ReasonWarming
}

// waitForSlot queues the call until it gets a slot, and returns ReasonOK or why it got none.
func (x *execution) waitForSlot(c context.Context, deadline time.Time) call.Reason {
	g := x.guard
	g.mu.Lock()
	now := time.Now()
	entry := g.queue.Submit(now, queue.Item{Rank: x.hop.Rank, Deadline: deadline})
	g.planNextStart(now)
	g.mu.Unlock()
	select {
	case reason := <-entry.Decided():
		return reason
	default:
	}
	wait, reason := queueWait, call.ReasonQueueTimeout
	if remaining := time.Until(deadline); remaining < wait {
		wait, reason = remaining, call.ReasonDeadline
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case decided := <-entry.Decided():
		return decided
	case <-timer.C:
	case <-c.Done():
		reason = call.ReasonCancelled
	}
	g.mu.Lock()
	removed := g.queue.Remove(entry)
	g.mu.Unlock()
	if removed {
		return reason
	}

	return <-entry.Decided()
}

func (x *execution) releaseSlot() {
	x.guard.mu.Lock()
	defer x.guard.mu.Unlock()
	now := time.Now()
	x.guard.queue.Release(now)
	x.guard.planNextStart(now)
}

// currentProcess returns the ID of the backend server process. It also returns a reason to refuse the call, since the state may have
// changed while the call was queued.
func (x *execution) currentProcess() (string, call.Reason) {
	x.guard.mu.Lock()
	defer x.guard.mu.Unlock()

	return x.guard.backend.LastHeartbeat().ID, reasonForState(x.guard.backend.State())
}

// forward sends the call to the backend server and classifies the result.
func (x *execution) forward(c context.Context, deadline time.Time, response *relay.Response) wire.Report {
	g := x.guard
	out := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(out)
	x.fillRequest(out, deadline)
	err := g.client.Do(c, g.options.Backend, out, response, relay.Limits{
		MaxBodyBytes:        maxResponse,
		Buffers:             g.buffers,
		Deadline:            deadline,
		DialTimeout:         dialTimeout,
		AllowCloseDelimited: true,
		Matches:             x.ownsResponse,
		Named:               x.namesRequest,
	})
	if err != nil {
		return x.reportFailure(c, err)
	}
	x.resetFailedDials()
	report := x.classify(response)
	if report.Outcome != call.OutcomeRan {
		return report
	}
	x.guard.demand.CountEnd(x.hop, report.Reason == call.ReasonBackendFault)
	if x.guard.crashes.Active() {
		x.guard.crashes.RecordResponse(x.requestID())
	}

	return report
}

// fillRequest copies the incoming request to the one for the backend server, and sets the headers of its dialect.
func (x *execution) fillRequest(out *protocol.Request, deadline time.Time) {
	wire.ForwardRequest(out, x.in)
	x.guard.options.Dialect.SetRequestHeaders(&out.Header, RequestInfo{
		Process:   x.process,
		Remaining: time.Until(deadline),
		Caller:    x.hop.Caller,
	})
}

// ownsResponse reports whether a response belongs to this call; one without a request ID is assumed to. What the process states about
// itself applies as soon as the header is read, since a body may take long.
func (x *execution) ownsResponse(header *protocol.ResponseHeader) bool {
	info := x.guard.options.Dialect.ParseResponse(header.StatusCode(), header)
	if info.genuine(x.id) {
		x.guard.handleStatement(x.process, info)
	}

	return !info.Ambiguous && (info.RequestID == "" || info.RequestID == x.id)
}

// namesRequest reports whether a response carries the ID of its request.
func (x *execution) namesRequest(header *protocol.ResponseHeader) bool {
	info := x.guard.options.Dialect.ParseResponse(header.StatusCode(), header)

	return info.Ambiguous || info.RequestID != ""
}

// reportFailure returns the report on an attempt that got no complete response.
func (x *execution) reportFailure(c context.Context, err error) wire.Report {
	x.failure = err
	outcome, reason := relay.OutcomeOf(err)
	switch {
	case outcome == call.OutcomeNotRun:
		x.countFailedDial(reason, err)
	case reason == call.ReasonBroken && x.checkCrash(c):
		reason = call.ReasonCrashed
	}

	return wire.Report{Outcome: outcome, Reason: reason}
}

// countFailedDial counts failed connection attempts in a row, and marks the backend server as lost after maxFailedDials.
func (x *execution) countFailedDial(reason call.Reason, err error) {
	g := x.guard
	if reason != call.ReasonConnect {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failedDials++
	if g.failedDials >= maxFailedDials && g.backend.State() == beat.StateReady {
		g.backend.MarkLost()
		g.options.Log.Warn("backend server lost", slog.String("process", g.backend.LastHeartbeat().String()), slog.String("reason", err.Error()))
		g.applyState(time.Now())
	}
}

func (x *execution) resetFailedDials() {
	x.guard.mu.Lock()
	defer x.guard.mu.Unlock()
	x.guard.failedDials = 0
}

// classify returns the report on a complete response. The outcome is unknown if the response has a content encoding, or a status
// below 500 without a signature: the backend server may not have sent it in this form.
func (x *execution) classify(response *relay.Response) wire.Report {
	status := response.Response.StatusCode()
	info := x.guard.options.Dialect.ParseResponse(status, &response.Response.Header)
	switch {
	case info.WrongProcess:
		x.handleWrongProcess()

		return wire.Report{Outcome: info.refusalOutcome(), Reason: call.ReasonWrongIncarnation}
	case info.NotRun:
		return wire.Report{Outcome: call.OutcomeNotRun, Reason: call.ReasonBackendShed}
	case info.Encoded, !info.Signed && status < minServerError:
		return wire.Report{Outcome: call.OutcomeUnknown, Reason: call.ReasonTorn}
	}
	report := wire.Report{Outcome: call.OutcomeRan, Reason: call.ReasonOK}
	if status >= minServerError || info.PromisesNotRun {
		report.Reason = call.ReasonBackendFault
		report.LocalFault = !x.guard.demand.FailedRecently(time.Now())
	}

	return report
}

func (x *execution) handleWrongProcess() {
	x.guard.mu.Lock()
	defer x.guard.mu.Unlock()
	x.guard.backend.HandleWrongProcess(x.process)
	x.guard.applyState(time.Now())
}

// completeReport adds the node's state, load and demand estimates to the report.
func (x *execution) completeReport(report wire.Report) wire.Report {
	g := x.guard
	g.mu.Lock()
	load := g.queue.BindingLoad(time.Now())
	report.State = string(g.announced)
	if g.draining.Load() {
		report.State = string(member.StateDraining)
	}
	g.mu.Unlock()
	report.Running, report.Waiting, report.Slots = load.Running, load.Waiting, load.Slots
	report.Revision = g.holder.Revision()
	report.Origin = x.origin

	return g.demand.CompleteReport(time.Now(), x.hop.Key(), report)
}

// describeLoad formats the load and the backend server's state for the decision log.
func (g *Guard) describeLoad() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	load, limit := g.queue.Load(), g.queue.RateLimit(time.Now())
	if limit != "" {
		limit = ", " + limit
	}

	return fmt.Sprintf("running %d, waiting %d, slots %d, %s%s", load.Running, load.Waiting, load.Slots, g.backend.State(), limit)
}

func (x *execution) traceFailure(report wire.Report) {
	detail := x.guard.describeLoad()
	if x.failure != nil {
		detail += "; " + x.failure.Error()
	}
	x.guard.refused.WithTag(string(report.Reason)).Inc(1)
	x.guard.tracer.Record(trace.Decision{
		Step:     trace.StepAdmit,
		Op:       call.ID(x.id),
		Service:  x.hop.Service,
		Kind:     x.hop.Route,
		Attempt:  x.hop.Attempt,
		Rank:     call.Rank(x.hop.Rank),
		Outcome:  report.Outcome,
		Reason:   report.Reason,
		Detail:   detail,
		Elapsed:  time.Since(x.startedAt),
		Revision: x.guard.holder.Revision(),
	})
}
