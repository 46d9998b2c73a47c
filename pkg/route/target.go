package route

import (
	"math"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	// maxReportAge is the age at which a load report is ignored; until then its weight falls linearly.
	maxReportAge = time.Second
	// failureSmoothing is the weight of one attempt in the moving average of failures.
	failureSmoothing = 0.2
	failureHalfLife  = time.Second
	// failureCostWeight makes a target that always fails cost more than one at its limit.
	failureCostWeight = 2.0
	// slownessCostWeight makes a target that is half as slow again as others cost as much more as a far one.
	slownessCostWeight = 0.2
	// minWarmUpWeight is the weight with which the ramp-up of a target starts, as a share of its full weight.
	minWarmUpWeight = 0.1
	// defaultLimit is the concurrency limit assumed for a target whose limit is unknown.
	defaultLimit = 64
	maxEjectTime = 30 * time.Second
	// outlierFactor is how many times the mean failure rate of the others a target must exceed to be ejected.
	outlierFactor = 2.0
	// minSilence is the shortest time without any response after which a target counts as silent, and silenceFactor the multiple of the
	// usual latency.
	minSilence    = 500 * time.Millisecond
	silenceFactor = 4
)

// Verdict classifies the result of an attempt as evidence about the health of its target.
type Verdict uint8

// Verdicts on the target of an attempt.
const (
	// VerdictOK is a complete response.
	VerdictOK Verdict = iota
	// VerdictFault is an error of the target, or a connection that failed or broke.
	VerdictFault
	// VerdictBusy is a refusal because of load.
	VerdictBusy
	// VerdictUnavailable is a refusal by a target that is draining or was replaced by a new incarnation.
	VerdictUnavailable
	// VerdictNeutral is no evidence about the target: the caller cancelled, or the connection went silent.
	VerdictNeutral
)

// VerdictFor returns the verdict for the outcome and reason of an attempt. A silent connection is not held against the target,
// as the network may be at fault.
func VerdictFor(outcome call.Outcome, reason call.Reason) Verdict {
	switch reason {
	case call.ReasonConnect, call.ReasonBroken, call.ReasonCrashed, call.ReasonTorn, call.ReasonBackendFault, call.ReasonStalled:
		return VerdictFault
	case call.ReasonDraining, call.ReasonWrongIncarnation:
		return VerdictUnavailable
	case call.ReasonOverload, call.ReasonThreshold, call.ReasonQueueFull, call.ReasonQueueTimeout,
		call.ReasonHopeless, call.ReasonBufferFull, call.ReasonFairShare, call.ReasonBackendShed, call.ReasonWarming, call.ReasonRateLimited:
		return VerdictBusy
	}
	if outcome == call.OutcomeRan {
		return VerdictOK
	}

	return VerdictNeutral
}

// Sample is the result of one finished attempt.
type Sample struct {
	Verdict Verdict
	Kind    string
	// Latency is the time until the response was complete, zero to leave it out of the averages of the kind.
	Latency time.Duration
	// Unfinished says that the attempt ended before the backend server had responded, at its deadline or because the caller left.
	Unfinished bool
	// Feedback is the feedback of the executing node, nil for none.
	Feedback *call.Feedback
}

// responded reports whether the target has responded to the attempt, be it with a refusal or an error.
func (s Sample) responded() bool {
	return s.Verdict != VerdictNeutral || s.Feedback != nil
}

// report is the load that a target reported with its last response.
type report struct {
	receivedAt time.Time
	load       int
	limit      int
	threshold  call.DecayingThreshold
	draining   bool
}

// target is the state that this entry node keeps about one executing node.
type target struct {
	entry member.Entry
	// near says that the target is in the data centre of the entry node.
	near bool
	// warmUpStartedAt is when the ramp-up began, zero for a target that needs none.
	warmUpStartedAt time.Time

	// inflight counts the attempts of this entry node only.
	inflight         int
	report           report
	failureAverage   float64
	failureUpdatedAt time.Time
	samples          int

	// slownessAverage is the moving average of the latency divided by the average of the kind over all targets.
	slownessAverage   float64
	slownessUpdatedAt time.Time

	// silentAfter is the time at which the target counts as silent if attempts are in flight and it has not responded to any. It stays
	// in force while givenUp is true: attempts have ended without a response after it.
	silentAfter time.Time
	givenUp     bool
	// responseTime is the longest time in which one of the attempts in flight should get a response.
	responseTime time.Duration

	// consecutive counts the faults since the last success.
	consecutive  int
	ejectedUntil time.Time
	ejections    int
}

// failureRate returns the moving average of failures, which halves every failureHalfLife without a new sample.
func (t *target) failureRate(now time.Time) float64 {
	if t.failureAverage == 0 {
		return 0
	}

	return t.failureAverage * math.Exp2(-float64(now.Sub(t.failureUpdatedAt))/float64(failureHalfLife))
}

func (t *target) ejected(now time.Time) bool {
	return now.Before(t.ejectedUntil)
}

// begin counts an attempt to which the target, if it responds at all, responds within the given time.
func (t *target) begin(now time.Time, responseTime time.Duration) {
	if due := now.Add(responseTime); t.inflight == 0 && !t.givenUp || due.Before(t.silentAfter) {
		t.silentAfter = due
	}
	if t.inflight == 0 {
		t.responseTime = 0
	}
	t.responseTime = max(t.responseTime, responseTime)
	t.inflight++
}

// end counts the end of an attempt. If the target has responded, responses to the attempts in flight are due from now on.
func (t *target) end(now time.Time, responded bool) {
	switch {
	case responded:
		t.silentAfter, t.givenUp = now.Add(t.responseTime), false
	case t.silent(now):
		t.givenUp = true
	}
	t.inflight = max(t.inflight-1, 0)
}

// silent reports whether the target has stopped responding, as a node does that is frozen or cut off. A silent target gets one attempt
// at a time until it responds, whatever becomes of the attempts that are in flight there.
func (t *target) silent(now time.Time) bool {
	return t.inflight > 0 && now.After(t.silentAfter)
}

// warmUpWeight returns the share of its full load that a target may take while it ramps up, 1 after that.
func (t *target) warmUpWeight(now time.Time, slowStart time.Duration) float64 {
	if t.entry.State == member.StateWarming {
		return minWarmUpWeight
	}
	if t.warmUpStartedAt.IsZero() || slowStart <= 0 {
		return 1
	}
	ramp := float64(now.Sub(t.warmUpStartedAt)) / float64(slowStart)

	return math.Min(math.Max(ramp, minWarmUpWeight), 1)
}

// utilisation returns the load with one more call, relative to the concurrency limit. The load is the larger of the attempts
// from this entry node and the last report, weighted by its age.
func (t *target) utilisation(now time.Time) float64 {
	limit := t.entry.Slots
	load := float64(t.inflight)
	if fresh := 1 - float64(now.Sub(t.report.receivedAt))/float64(maxReportAge); fresh > 0 {
		load = math.Max(load, fresh*float64(t.report.load))
		limit = t.report.limit
	}
	if limit <= 0 {
		limit = defaultLimit
	}

	return (load + 1) / float64(limit)
}

const (
	// latencySmoothing is the weight of one response in the average latency of its kind, slownessSmoothing that in the slowness
	// of a target, and unfinishedSmoothing that of an attempt without a response in its slowness and in its failures.
	latencySmoothing    = 0.02
	slownessSmoothing   = 0.1
	unfinishedSmoothing = 0.4
	// maxSlowness and minSlowness bound the slowness, and so the effect of latency on the choice.
	maxSlowness = 10.0
	minSlowness = 0.5
	// slownessHalfLife is the time in which the slowness moves halfway back to 1 without a new sample.
	slownessHalfLife = 2 * time.Second
)

// slowness returns the latency of the target relative to the average of all targets, 1 if no latency was recorded.
func (t *target) slowness(now time.Time) float64 {
	if t.slownessAverage == 0 {
		return 1
	}

	return 1 + (t.slownessAverage-1)*math.Exp2(-float64(now.Sub(t.slownessUpdatedAt))/float64(slownessHalfLife))
}

// recordLatencyRatio updates the slowness with a latency divided by the average of its kind, and the weight of this sample.
func (t *target) recordLatencyRatio(now time.Time, ratio, weight float64) {
	slowness := t.slowness(now)
	t.slownessAverage = math.Min(math.Max(slowness+weight*(ratio-slowness), minSlowness), maxSlowness)
	t.slownessUpdatedAt = now
}

// cost returns the cost by which targets are compared. Failures and slowness add to it, as a target that fails fast, or responds to few
// calls in time, would otherwise look idle and attract calls. Slowness does not multiply the utilisation: the slots of a slower server
// would stay free while a faster one refuses calls.
func (t *target) cost(now time.Time, slowStart time.Duration) float64 {
	slowness := t.slowness(now)

	return t.utilisation(now)/t.warmUpWeight(now, slowStart) + failureCostWeight*t.failureRate(now) +
		slownessCostWeight*math.Max(slowness-1, 0)
}

// record updates the target with the result of an attempt.
func (t *target) record(now time.Time, s Sample) {
	if s.Feedback != nil {
		t.report = report{
			receivedAt: now,
			load:       s.Feedback.Inflight + s.Feedback.Queued,
			limit:      s.Feedback.Limit,
			threshold:  call.NewDecayingThreshold(now, s.Feedback.Threshold),
			draining:   s.Feedback.State == string(member.StateDraining),
		}
	}
	switch s.Verdict {
	case VerdictOK:
		t.updateFailureRate(now, 0, failureSmoothing)
		t.consecutive = 0
	case VerdictFault:
		t.updateFailureRate(now, 1, failureSmoothing)
		t.consecutive++
	case VerdictUnavailable:
		t.report.draining = true
		t.report.receivedAt = now
	case VerdictBusy, VerdictNeutral:
	}
}

func (t *target) updateFailureRate(now time.Time, failed, weight float64) {
	rate := t.failureRate(now)
	t.failureAverage = rate + weight*(failed-rate)
	t.failureUpdatedAt = now
	t.samples++
}
