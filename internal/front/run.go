package front

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fatal"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/reply"
	"github.com/pistachiotack/pistachiotack/pkg/route"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
)

// errNoReport means that the response of a node has no report.
var errNoReport = errors.New("answer of the node without a report")

// maxNodesTried is the maximum number of nodes tried for one request, including those that refuse it.
const maxNodesTried = 5

// run makes attempts until one gets a response or the request must not be retried.
func (r *request) run(c context.Context) *call.Refusal {
	response, release := relay.NewResponse()
	defer release()
	var previous *call.Refusal
	for {
		r.attempt++
		refusal, retryable := r.try(c, response)
		if refusal == nil {
			if retryable && r.shouldRetry(c, call.NewRefusal(call.OutcomeRan, call.ReasonBackendFault)) {
				response.Close()

				continue
			}
			if refusal = reply.Check(r.front.options.Dialect, call.OutcomeRan, response.Response.StatusCode()); refusal != nil {
				return refusal
			}
			r.respond(response)

			return nil
		}
		response.Close()
		if previous != nil && refusal.Reason == call.ReasonNoTarget {
			return r.correctOutcome(previous)
		}
		previous = refusal
		if !r.shouldRetry(c, refusal) {
			return r.correctOutcome(refusal)
		}
	}
}

// correctOutcome changes the outcome notRun of a refusal to unknown if an earlier attempt may have run.
func (r *request) correctOutcome(refusal *call.Refusal) *call.Refusal {
	if r.dispatched > 0 && refusal.Outcome == call.OutcomeNotRun {
		changed := *refusal
		changed.Outcome = call.OutcomeUnknown

		return &changed
	}

	return refusal
}

// shouldRetry decides whether to retry a failed attempt.
func (r *request) shouldRetry(c context.Context, failure *call.Refusal) bool {
	now := time.Now()
	if c.Err() != nil || r.attempt >= maxNodesTried || !now.Before(r.deadline) {
		return false
	}
	if r.front.refusing.Load() && r.front.end.Load().Excludes(now, r.deadline) {
		return false
	}
	if failure.Outcome == call.OutcomeNotRun && failure.Reason != call.ReasonBackendShed {
		return retryableElsewhere(failure.Reason)
	}
	if failure.Outcome != call.OutcomeNotRun && r.route.Idempotency != routes.Idempotent {
		return false
	}
	if r.dispatched >= r.route.Attempts {
		return false
	}

	return r.front.takeRetry(r.route.Name, r.service)
}

// retryableElsewhere reports whether another node may accept a request that one has refused for the reason.
func retryableElsewhere(reason call.Reason) bool {
	switch reason {
	case call.ReasonDeadline, call.ReasonHopeless, call.ReasonCancelled, call.ReasonNoTarget, call.ReasonBadRequest, call.ReasonQuarantined:
		return false
	}

	return true
}

// try makes one attempt; retryable is true if the response is a failure caused by the backend server itself.
func (r *request) try(c context.Context, response *relay.Response) (refusal *call.Refusal, retryable bool) {
	members := r.front.members.Members(r.service)
	choice, refused := r.front.picker.pick(time.Now(), r.service, members, r.tried)
	if refused != nil {
		return refused, false
	}
	chosen := choice.Entry
	r.tried = append(r.tried, chosen.ID)
	startedAt := time.Now()
	report, err := r.send(c, chosen, response)
	r.recordAttempt(chosen, report, err == nil, time.Since(startedAt))
	r.traceDecision(trace.StepRoute, chosen.ID, report.Outcome, report.Reason, r.choiceDetail(choice, err))
	if report.Outcome != call.OutcomeNotRun {
		r.dispatched++
	}
	if report.Outcome == call.OutcomeRan {
		return nil, report.LocalFault
	}

	refusal = call.NewRefusal(report.Outcome, report.Reason)
	if report.Reason == call.ReasonQuarantined {
		refusal = refusal.WithRetryAfter(fatal.QuarantineTime)
	}

	return refusal, false
}

// choiceDetail describes the choice of a node, and the error of the attempt at it, if there is one.
func (r *request) choiceDetail(choice route.Choice, err error) string {
	detail := string(choice.Reason) + " of " + strconv.Itoa(choice.Candidates) + ", cost " + decimal(choice.Cost) + "; " + r.detail
	if err != nil {
		detail += "; " + err.Error()
	}

	return detail
}

// send sends the request to the chosen node. The error says why the report doesn't come from that node.
func (r *request) send(c context.Context, chosen member.Entry, response *relay.Response) (wire.Report, error) {
	hop := r.hop()
	if chosen.ID == r.front.options.Node {
		return r.front.runner.Run(c, hop, &r.http.Request, response), nil
	}
	out := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(out)
	wire.ForwardRequest(out, &r.http.Request)
	wire.SetHop(&out.Header, hop)
	if err := r.front.client.Do(c, chosen.Peers, out, response, relay.Limits{
		MaxBodyBytes: maxResponse,
		Buffers:      r.front.buffers,
		DialTimeout:  peerDialTimeout,
		Deadline:     r.deadline,
	}); err != nil {
		outcome, reason := relay.OutcomeOf(err)

		return wire.Report{Outcome: outcome, Reason: reason}, err
	}
	report, reported := wire.ParseReport(&response.Response.Header)
	if !reported {
		return wire.Report{Outcome: call.OutcomeUnknown, Reason: call.ReasonTorn}, errNoReport
	}

	return report, nil
}

func (r *request) hop() wire.Hop {
	return wire.Hop{
		Route:         r.route.Name,
		Service:       r.service,
		Caller:        r.front.options.Service,
		Remaining:     time.Until(r.deadline),
		Rank:          r.rank(),
		Once:          r.route.Idempotency != routes.Idempotent,
		Attempt:       r.attempt,
		Revision:      r.table.Version(),
		LevelEstimate: r.front.demand.EstimatedLevel(time.Now(), r.service),
	}
}

// recordAttempt updates the picker, the demand estimates and the known revisions from the result of an attempt.
func (r *request) recordAttempt(chosen member.Entry, report wire.Report, reported bool, latency time.Duration) {
	now := time.Now()
	var feedback *wire.Report
	if reported {
		feedback = &report
		r.front.demand.HandleReport(now, r.hop(), report)
		r.front.rules.NotifyVersion(report.Revision, chosen.Control)
	}
	verdict := route.VerdictFor(report.Outcome, report.Reason)
	switch {
	case report.Outcome == call.OutcomeRan && report.Reason == call.ReasonBackendFault && !report.LocalFault:
		verdict = route.VerdictNeutral
	case report.Reason == call.ReasonBackendShed:
		// a node keeps the running calls below its backend server's slots, so a backend server that sheds calls is faulty
		verdict = route.VerdictFault
	}
	r.front.demand.ObserveCall(now, r.service, report.Reason != call.ReasonDeadline)
	sample := route.Sample{
		Verdict: verdict, Kind: r.route.Name, Latency: latency,
		Unfinished: report.Reason == call.ReasonDeadline || report.Reason == call.ReasonCancelled,
	}
	if r.front.picker.done(now, r.service, chosen, sample, feedback) {
		r.traceDecision(trace.StepEject, chosen.ID, report.Outcome, report.Reason, "")
	}
}

// countRequest counts a request to the service, which raises the retry quota.
func (f *Front) countRequest(now time.Time, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quota.SetNodes(f.quotaNodes(now))
	f.quota.CountRequest(now, service)
}

// membershipSettleTime is how long a node may not know all others after its start; gossip takes 0.5 s if all nodes start together.
const membershipSettleTime = 2 * time.Second

// quotaNodes returns the number of nodes that share the retry quota, zero while the node may not know all of them.
func (f *Front) quotaNodes(now time.Time) int {
	if now.Sub(f.startedAt) < membershipSettleTime {
		return 0
	}

	return len(f.members.All())
}

// takeRetry takes the cost of a retry from the quotas of all services in its call tree, or returns false if one is too low.
func (f *Front) takeRetry(name, service string) bool {
	costs := f.demand.CallsPerAttempt(name, service)
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.quota.Take(time.Now(), costs)
}
