package front

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/route"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
)

// movesMost is the number of nodes that one request asks at most, those that turn it away included.
const movesMost = 5

// run makes attempts until one brings an answer or there is a reason to give up.
func (r *request) run(c context.Context) *call.Refusal {
	answer, release := relay.NewResponse()
	defer release()
	var before *call.Refusal
	for {
		r.attempt++
		refusal, again := r.try(c, answer)
		if refusal == nil {
			if again && r.retries(c, call.NewRefusal(call.OutcomeRan, call.ReasonBackendFault)) {
				answer.Close()

				continue
			}
			r.pass(answer)

			return nil
		}
		answer.Close()
		if before != nil && refusal.Reason == call.ReasonNoTarget {
			return r.honest(before)
		}
		before = refusal
		if !r.retries(c, refusal) {
			return r.honest(refusal)
		}
	}
}

// honest keeps a refusal from saying notRun when an earlier attempt may have been run.
func (r *request) honest(refusal *call.Refusal) *call.Refusal {
	if r.sent > 0 && refusal.Outcome == call.OutcomeNotRun {
		changed := *refusal
		changed.Outcome = call.OutcomeUnknown

		return &changed
	}

	return refusal
}

// retries decides whether a failed attempt is followed by another one.
func (r *request) retries(c context.Context, failure *call.Refusal) bool {
	if c.Err() != nil || r.attempt >= movesMost || !time.Now().Before(r.expires) {
		return false
	}
	if failure.Outcome == call.OutcomeNotRun && failure.Reason != call.ReasonBackendShed {
		return movable(failure.Reason)
	}
	if failure.Outcome != call.OutcomeNotRun && r.route.Idempotency != routes.Idempotent {
		return false
	}
	if r.sent >= r.route.Attempts {
		return false
	}

	return r.front.takeRepeat(r.route.Name, r.service)
}

// movable reports whether another node may take a request that one has turned away.
func movable(reason call.Reason) bool {
	switch reason {
	case call.ReasonDeadline, call.ReasonHopeless, call.ReasonCancelled, call.ReasonNoTarget, call.ReasonBadRequest:
		return false
	}

	return true
}

// try makes one attempt; again says that the answer blames its backend server alone.
func (r *request) try(c context.Context, answer *relay.Response) (refusal *call.Refusal, again bool) {
	members := r.front.members.Members(r.service)
	choice, refused := r.front.placer.choose(time.Now(), r.service, members, r.tried)
	if refused != nil {
		return refused, false
	}
	chosen := choice.Entry
	r.tried = append(r.tried, chosen.ID)
	began := time.Now()
	report, known := r.send(c, chosen, answer)
	r.learn(chosen, report, known, time.Since(began))
	r.decide(trace.StepRoute, chosen.ID, report.Outcome, report.Reason, r.placed(choice))
	if report.Outcome != call.OutcomeNotRun {
		r.sent++
	}
	if report.Outcome == call.OutcomeRan {
		return nil, report.LocalFault && answer.Response.StatusCode() >= statusFault
	}

	return call.NewRefusal(report.Outcome, report.Reason), false
}

func (r *request) placed(choice route.Choice) string {
	return string(choice.Reason) + " of " + strconv.Itoa(choice.Candidates) + ", cost " + decimal(choice.Cost) + "; " + r.detail
}

// send carries the request to the node; known says that the report is the node's own word.
func (r *request) send(c context.Context, chosen member.Entry, answer *relay.Response) (report wire.Report, known bool) {
	hop := r.hop()
	if chosen.ID == r.front.options.Node {
		return r.front.runner.Run(c, hop, &r.http.Request, answer), true
	}
	out := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(out)
	wire.ForwardRequest(out, &r.http.Request)
	wire.SetHop(&out.Header, hop)
	err := r.front.client.Do(c, chosen.Peers, out, answer, relay.Limits{MaxBodyBytes: maxAnswer, DialTimeout: peerDial, Deadline: r.expires})
	if err != nil {
		outcome, reason := relay.OutcomeOf(err)

		return wire.Report{Outcome: outcome, Reason: reason}, false
	}
	report, known = wire.ParseReport(&answer.Response.Header)
	if !known {
		return wire.Report{Outcome: call.OutcomeUnknown, Reason: call.ReasonTorn}, false
	}

	return report, true
}

func (r *request) hop() wire.Hop {
	return wire.Hop{
		Route:         r.route.Name,
		Service:       r.service,
		Caller:        r.front.options.Service,
		Remaining:     time.Until(r.expires),
		Rank:          r.rank(),
		Once:          r.route.Idempotency != routes.Idempotent,
		Attempt:       r.attempt,
		Revision:      r.table.Version(),
		LevelEstimate: r.front.demand.EstimatedLevel(time.Now(), r.service),
	}
}

// learn takes what an attempt tells of its node and of the fleet.
func (r *request) learn(chosen member.Entry, report wire.Report, known bool, took time.Duration) {
	now := time.Now()
	var told *wire.Report
	if known {
		told = &report
		r.front.demand.HandleReport(now, r.hop(), report)
		r.front.rules.Heard(report.Revision, chosen.Control)
	}
	verdict := route.VerdictFor(report.Outcome, report.Reason)
	switch {
	case report.Outcome == call.OutcomeRan && report.Reason == call.ReasonBackendFault && !report.LocalFault:
		verdict = route.VerdictNeutral
	case report.Reason == call.ReasonBackendShed:
		// its node keeps a backend server below its slots, so one that turns calls away has a fault
		verdict = route.VerdictFault
	}
	sample := route.Sample{Verdict: verdict, Kind: r.route.Name, Latency: took}
	if r.front.placer.done(now, r.service, chosen, sample, told) {
		r.decide(trace.StepEject, chosen.ID, report.Outcome, report.Reason, "")
	}
}

// countRequest earns the service's part of the allowance of repeats.
func (f *Front) countRequest(now time.Time, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quota.SetNodes(f.sharers(now))
	f.quota.CountRequest(now, service)
}

// settleTime is how long a node that has started may not know all others; gossip takes half a second where all start together.
const settleTime = 2 * time.Second

// sharers returns the number of nodes that share the allowance, zero while the node may not know them.
func (f *Front) sharers(now time.Time) int {
	if now.Sub(f.began) < settleTime {
		return 0
	}

	return len(f.members.All())
}

// takeRepeat spends what a repeat costs at all services of its call tree.
func (f *Front) takeRepeat(name, service string) bool {
	costs := f.demand.CallsPerAttempt(name, service)
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.quota.Take(time.Now(), costs)
}
