package route

import (
	"math"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	reportAge    = time.Second
	failureGain  = 0.2
	failureHalf  = time.Second
	failureCost  = 2.0
	weightFirst  = 0.1
	unknownSlots = 64
	ejectLongest = 30 * time.Second
	// outlier is how much more a target must fail than the others to be ejected.
	outlier = 2.0
)

// Verdict is what the end of an attempt says about its target.
type Verdict uint8

// Verdicts on a target.
const (
	// VerdictOK is a whole answer.
	VerdictOK Verdict = iota
	// VerdictFault is an error of the target, or a connection to it that could not be made.
	VerdictFault
	// VerdictBusy is a refusal under load.
	VerdictBusy
	// VerdictUnavailable is a refusal by a target that drains or has been replaced.
	VerdictUnavailable
	// VerdictNeutral says nothing about the target: the caller left, or the connection went silent.
	VerdictNeutral
)

// VerdictFor returns the verdict for an attempt's outcome and reason; a silent connection does not blame the target.
func VerdictFor(outcome call.Outcome, reason call.Reason) Verdict {
	switch reason {
	case call.ReasonConnect, call.ReasonBroken, call.ReasonTorn, call.ReasonBackendFault, call.ReasonStalled:
		return VerdictFault
	case call.ReasonDraining, call.ReasonWrongIncarnation:
		return VerdictUnavailable
	case call.ReasonOverload, call.ReasonThreshold, call.ReasonQueueFull, call.ReasonQueueTimeout,
		call.ReasonHopeless, call.ReasonBufferFull, call.ReasonFairShare, call.ReasonBackendShed, call.ReasonWarming:
		return VerdictBusy
	}
	if outcome == call.OutcomeRan {
		return VerdictOK
	}

	return VerdictNeutral
}

// Sample is one finished attempt.
type Sample struct {
	Verdict Verdict
	Kind    string
	// Latency is the time of a whole answer, zero if it is not to be compared with others of its kind.
	Latency time.Duration
	// Feedback is what rode back on the answer, nil for none.
	Feedback *call.Feedback
}

// report is the load that a target told of itself.
type report struct {
	at       time.Time
	load     int
	limit    int
	wants    call.DecayingThreshold
	draining bool
}

// target is what this entry knows of one executing node.
type target struct {
	entry member.Entry
	near  bool
	// warmFrom is when the ramp began, zero for a warm target.
	warmFrom time.Time

	inflight  int
	report    report
	failure   float64
	failureAt time.Time
	samples   int

	// slow is the mean time of its answers as a multiple of what all targets take for the kind.
	slow   float64
	slowAt time.Time

	consecutive  int
	ejectedUntil time.Time
	ejections    int
}

// fail returns the share of failures, halved for each second without news.
func (t *target) fail(now time.Time) float64 {
	if t.failure == 0 {
		return 0
	}

	return t.failure * math.Exp2(-float64(now.Sub(t.failureAt))/float64(failureHalf))
}

func (t *target) ejected(now time.Time) bool {
	return now.Before(t.ejectedUntil)
}

// weight returns how much of an even part the target may take yet.
func (t *target) weight(now time.Time, slowStart time.Duration) float64 {
	if t.entry.State == member.StateWarming {
		return weightFirst
	}
	if t.warmFrom.IsZero() || slowStart <= 0 {
		return 1
	}
	ramp := float64(now.Sub(t.warmFrom)) / float64(slowStart)

	return math.Min(math.Max(ramp, weightFirst), 1)
}

// used returns the utilisation as far as it is known: own calls first, and what the target told lately.
func (t *target) used(now time.Time) float64 {
	limit := t.entry.Slots
	load := float64(t.inflight)
	if fresh := 1 - float64(now.Sub(t.report.at))/float64(reportAge); fresh > 0 {
		load = math.Max(load, fresh*float64(t.report.load))
		limit = t.report.limit
	}
	if limit <= 0 {
		limit = unknownSlots
	}

	return (load + 1) / float64(limit)
}

const (
	// timeGain is the weight of one answer in the mean time of its kind, slowGain the one in the slowness of a target.
	timeGain = 0.02
	slowGain = 0.1
	// slowMost bounds the slowness, slowLeast what a fast target gains by it.
	slowMost  = 10.0
	slowLeast = 0.5
	// slowHalf is the time in which a slowness without news halves its distance from that of the others.
	slowHalf = 2 * time.Second
)

// slowness returns the factor by which the target's answers take longer than those of the others.
func (t *target) slowness(now time.Time) float64 {
	if t.slow == 0 {
		return 1
	}

	return 1 + (t.slow-1)*math.Exp2(-float64(now.Sub(t.slowAt))/float64(slowHalf))
}

// compare takes the time of an answer as a multiple of the mean of its kind.
func (t *target) compare(now time.Time, ratio float64) {
	slow := t.slowness(now)
	t.slow = math.Min(math.Max(slow+slowGain*(ratio-slow), slowLeast), slowMost)
	t.slowAt = now
}

// cost compares targets: a failing one counts as more than full, so that failing fast does not look idle.
func (t *target) cost(now time.Time, slowStart time.Duration) float64 {
	return t.used(now)*t.slowness(now)/t.weight(now, slowStart) + failureCost*t.fail(now)
}

// note takes a finished attempt.
func (t *target) note(now time.Time, s Sample) {
	if s.Feedback != nil {
		t.report = report{
			at:       now,
			load:     s.Feedback.Inflight + s.Feedback.Queued,
			limit:    s.Feedback.Limit,
			wants:    call.NewDecayingThreshold(now, s.Feedback.Threshold),
			draining: s.Feedback.State == string(member.StateDraining),
		}
	}
	switch s.Verdict {
	case VerdictOK:
		t.outcome(now, 0)
		t.consecutive = 0
	case VerdictFault:
		t.outcome(now, 1)
		t.consecutive++
	case VerdictUnavailable:
		t.report.draining = true
		t.report.at = now
	case VerdictBusy, VerdictNeutral:
	}
}

func (t *target) outcome(now time.Time, failed float64) {
	failure := t.fail(now)
	t.failure = failure + failureGain*(failed-failure)
	t.failureAt = now
	t.samples++
}
