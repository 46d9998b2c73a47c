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
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/queue"
)

// statusFault is the lowest HTTP status that blames a backend server.
const statusFault = 500

// execution is one call on its way to the backend server.
type execution struct {
	guard   *Guard
	hop     wire.Hop
	in      *protocol.Request
	id      string
	started time.Time
	origin  fanout.Origin
}

// Run executes a call and fills the answer, or returns a report whose outcome is not ran.
func (g *Guard) Run(c context.Context, hop wire.Hop, in *protocol.Request, answer *relay.Response) wire.Report {
	g.active.Add(1)
	defer g.active.Add(-1)
	x := &execution{guard: g, hop: hop, in: in, id: g.options.Dialect.RequestID(&in.Header), started: time.Now()}
	report := x.run(c, answer)
	if report.Outcome != call.OutcomeRan {
		answer.Close()
		x.log(report)
	}

	return x.describe(report)
}

func (x *execution) run(c context.Context, answer *relay.Response) wire.Report {
	refused := func(reason call.Reason) wire.Report {
		return wire.Report{Outcome: call.OutcomeNotRun, Reason: reason}
	}
	if reason := x.closed(); reason != "" {
		return refused(reason)
	}
	expires := x.started.Add(x.hop.Remaining)
	if reason := x.enter(c, expires); reason != call.ReasonOK {
		return refused(reason)
	}
	defer x.leave()
	process, reason := x.process()
	if reason != "" {
		return refused(reason)
	}
	if x.hop.Once {
		c = context.WithoutCancel(c)
	}
	x.origin = x.guard.demand.CountExecution(x.hop, int(x.guard.services.Load()))

	return x.forward(c, process, expires, answer)
}

// closed returns why the node takes no calls of this kind, empty if it does.
func (x *execution) closed() call.Reason {
	g := x.guard
	if g.closing.Load() {
		return reasonDraining
	}
	if x.hop.Service != g.options.Service {
		return call.ReasonWrongIncarnation
	}
	g.mu.Lock()
	defer g.mu.Unlock()

	return closedBy(g.backend.State())
}

func closedBy(state beat.State) call.Reason {
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

// enter waits for a slot.
func (x *execution) enter(c context.Context, expires time.Time) call.Reason {
	g := x.guard
	g.mu.Lock()
	ticket := g.queue.Submit(x.started, queue.Item{Rank: x.hop.Rank, Deadline: expires})
	g.mu.Unlock()
	select {
	case reason := <-ticket.Decided():
		return reason
	default:
	}
	wait, reason := queueWait, call.ReasonQueueTimeout
	if left := time.Until(expires); left < wait {
		wait, reason = left, call.ReasonDeadline
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case decided := <-ticket.Decided():
		return decided
	case <-timer.C:
	case <-c.Done():
		reason = call.ReasonCancelled
	}
	g.mu.Lock()
	waited := g.queue.Remove(ticket)
	g.mu.Unlock()
	if waited {
		return reason
	}

	return <-ticket.Decided()
}

func (x *execution) leave() {
	x.guard.mu.Lock()
	defer x.guard.mu.Unlock()
	x.guard.queue.Release(time.Now())
}

// process returns the backend server that may run the call now, which may have begun to leave while the call waited.
func (x *execution) process() (string, call.Reason) {
	x.guard.mu.Lock()
	defer x.guard.mu.Unlock()

	return x.guard.backend.LastHeartbeat().ID, closedBy(x.guard.backend.State())
}

// forward sends the call to the backend server and judges what comes back.
func (x *execution) forward(c context.Context, process string, expires time.Time, answer *relay.Response) wire.Report {
	g := x.guard
	out := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(out)
	x.address(out, process, expires)
	err := g.client.Do(c, g.options.Backend, out, answer, relay.Limits{
		MaxBodyBytes:        maxAnswer,
		Deadline:            expires,
		DialTimeout:         dialTimeout,
		AllowCloseDelimited: true,
		Matches:             x.owns,
	})
	if err != nil {
		return x.failed(err)
	}
	x.reached()

	return x.judge(process, answer)
}

// address fills the request to the backend server.
func (x *execution) address(out *protocol.Request, process string, expires time.Time) {
	wire.ForwardRequest(out, x.in)
	out.Header.Del(wire.HeaderHop)
	x.guard.options.Dialect.Address(&out.Header, Addressee{
		Process:   process,
		Remaining: time.Until(expires),
		Caller:    x.hop.Caller,
	})
}

// owns reports whether an answer belongs to this call; one without an ID is taken for its own.
func (x *execution) owns(header *protocol.ResponseHeader) bool {
	word := x.guard.options.Dialect.Read(header.StatusCode(), header)

	return word.RequestID == "" || word.RequestID == x.id
}

// failed reports an attempt without a whole answer.
func (x *execution) failed(err error) wire.Report {
	outcome, reason := relay.OutcomeOf(err)
	if outcome == call.OutcomeNotRun {
		x.unreached(reason, err)
	}

	return wire.Report{Outcome: outcome, Reason: reason}
}

// unreached notes a connection that could not be made.
func (x *execution) unreached(reason call.Reason, err error) {
	g := x.guard
	if reason != call.ReasonConnect {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dials++
	if g.dials >= dialsMost && g.backend.State() == beat.StateReady {
		g.backend.MarkLost()
		g.options.Log.Warn("backend server lost", slog.String("process", g.backend.LastHeartbeat().String()), slog.String("reason", err.Error()))
		g.follow(time.Now())
	}
}

func (x *execution) reached() {
	x.guard.mu.Lock()
	defer x.guard.mu.Unlock()
	x.guard.dials = 0
}

// judge decides what a whole answer is worth.
func (x *execution) judge(process string, answer *relay.Response) wire.Report {
	status := answer.Response.StatusCode()
	word := x.guard.options.Dialect.Read(status, &answer.Response.Header)
	switch {
	case word.Misplaced:
		x.misplaced(process)

		return wire.Report{Outcome: call.OutcomeNotRun, Reason: call.ReasonWrongIncarnation}
	case word.NotRun:
		return wire.Report{Outcome: call.OutcomeNotRun, Reason: call.ReasonBackendShed}
	case word.Encoded, !word.Vouched && status < statusFault:
		return wire.Report{Outcome: call.OutcomeUnknown, Reason: call.ReasonTorn}
	}
	report := wire.Report{Outcome: call.OutcomeRan, Reason: call.ReasonOK}
	if status >= statusFault {
		report.Reason = call.ReasonBackendFault
		report.LocalFault = !x.guard.demand.FailedRecently(time.Now())
	}

	return report
}

func (x *execution) misplaced(process string) {
	x.guard.mu.Lock()
	defer x.guard.mu.Unlock()
	x.guard.backend.HandleWrongProcess(process)
	x.guard.follow(time.Now())
}

// describe completes the report with the node's load.
func (x *execution) describe(report wire.Report) wire.Report {
	g := x.guard
	g.mu.Lock()
	load := g.queue.Load()
	report.State = string(g.declared)
	if g.closing.Load() {
		report.State = string(member.StateDraining)
	}
	g.mu.Unlock()
	report.Running, report.Waiting, report.Slots = load.Running, load.Waiting, load.Slots
	report.Revision = g.holder.Revision()
	report.Origin = x.origin

	return g.demand.CompleteReport(time.Now(), x.hop.Key(), report)
}

// describeLoad returns what a refusal is decided by.
func (g *Guard) describeLoad() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.queue.Load()

	return fmt.Sprintf("running %d, waiting %d, slots %d, %s", load.Running, load.Waiting, load.Slots, g.backend.State())
}

func (x *execution) log(report wire.Report) {
	x.guard.refused.Of(string(report.Reason)).Inc(1)
	x.guard.tracer.Decide(trace.Decision{
		Step:     trace.StepAdmit,
		Op:       call.ID(x.id),
		Service:  x.hop.Service,
		Kind:     x.hop.Route,
		Attempt:  x.hop.Attempt,
		Rank:     call.Rank(x.hop.Rank),
		Outcome:  report.Outcome,
		Reason:   report.Reason,
		Detail:   x.guard.describeLoad(),
		Took:     time.Since(x.started),
		Revision: x.guard.holder.Revision(),
	})
}
