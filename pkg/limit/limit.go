package limit

import (
	"math"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Reasons for a change of the limit.
const (
	// ReasonGrow raises the limit; it is the regular change while no other applies.
	ReasonGrow call.Reason = "limitGrow"
	// ReasonShed lowers the limit because the backend server shed load.
	ReasonShed call.Reason = "limitBackendShed"
	// ReasonTryLess starts a trial of a lower limit.
	ReasonTryLess call.Reason = "limitTryLess"
	// ReasonKeepLess keeps the lower limit after a trial.
	ReasonKeepLess call.Reason = "limitKeepLess"
	// ReasonRestore restores the limit from before a trial.
	ReasonRestore call.Reason = "limitRestore"
	// ReasonBounds adapts the limit to new bounds in the settings.
	ReasonBounds call.Reason = "limitBounds"
)

const (
	// maxSlowness is the slowness above which a lower limit is tried.
	maxSlowness = 2.0
	// maxSlownessReportedFull replaces maxSlowness while the backend server reports that it is full.
	maxSlownessReportedFull = 1.3
	// maxReportAge is the age above which a load report is ignored.
	maxReportAge = time.Second
	// throughputGain is the weight of a new window in the smoothed throughput.
	throughputGain = 0.3
	// trialFactor is the ratio of the limit in a trial to the limit before.
	trialFactor = 0.85
	// minTrialThroughputShare is the share of the previous throughput that a lower limit must reach to be kept.
	minTrialThroughputShare = 0.95
	// shedFactor is the lowest ratio of the new limit to the old one after shedding.
	shedFactor = 0.8
	// maxShedShare is the share of shed executions in a window above which the limit is lowered.
	maxShedShare = 0.02
	// The pause between trials doubles from minTrialPauseWindows to maxTrialPauseWindows while trials fail.
	minTrialPauseWindows = 10
	maxTrialPauseWindows = 100
	// defaultMax and defaultInitial are the maximum and the initial limit for a backend server of unknown size.
	defaultMax     = 1024
	defaultInitial = 32
)

// Bounds are the minimum and the maximum of the limit; Max is zero for a backend server of unknown size.
type Bounds struct {
	Min int
	Max int
}

// normalised returns the bounds with the default for an unknown Max and with Min between 1 and Max.
func (b Bounds) normalised() Bounds {
	if b.Max <= 0 {
		b.Max = defaultMax
	}
	b.Min = min(max(b.Min, 1), b.Max)

	return b
}

// initial returns the limit to start with.
func (b Bounds) initial() int {
	if b.Max <= 0 {
		return defaultInitial
	}

	return (b.Max + 1) / 2
}

// Change describes a change of the limit and the window that led to it.
type Change struct {
	Before int
	Limit  int
	Reason call.Reason
	// Latency is the mean latency in the window.
	Latency time.Duration
	// Slowness is the latency as a multiple of the baseline, which is the latency without contention.
	Slowness float64
}

// trial is a period with a lower limit, to find out whether the throughput stays the same. It is settled after its first
// window, which still holds executions that started under the previous limit and is not evaluated.
type trial struct {
	active        bool
	settled       bool
	previousLimit float64
}

// Limiter computes the concurrency limit of one executing node. It is not safe for concurrent use.
type Limiter struct {
	bounds Bounds
	limit  float64
	// ceiling bounds growth by doubling, which stops at half of it.
	ceiling   float64
	baselines baselines
	// throughput is the smoothed throughput, in executions per second, measured while the node is saturated. bestThroughput is
	// its maximum at the start of the trials of the current series.
	throughput     float64
	bestThroughput float64
	window         window
	trial          trial
	// trialPause is the number of windows until the next trial may start, nextTrialPause its value after a failed trial.
	trialPause     int
	nextTrialPause int

	// reportedLoad is the last load report of the backend server, 1 for full.
	reportedLoad float64
	reportedAt   time.Time
}

// New returns a limiter that starts at half of the maximum and raises the limit while there is no sign of overload.
func New(bounds Bounds, now time.Time) *Limiter {
	initial := bounds.initial()
	bounds = bounds.normalised()
	l := &Limiter{baselines: baselines{}, bounds: bounds, ceiling: float64(bounds.Max), nextTrialPause: minTrialPauseWindows}
	l.setLimit(float64(initial))
	l.window.start = now

	return l
}

// Limit returns the maximum number of concurrent executions.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// SetBounds sets new bounds, and returns the change of the limit and whether there is one.
func (l *Limiter) SetBounds(bounds Bounds) (Change, bool) {
	before := l.Limit()
	l.bounds = bounds.normalised()
	l.ceiling = float64(l.bounds.Max)
	l.setLimit(l.limit)

	return l.change(before, ReasonBounds)
}

// ReportLoad records the load that the backend server reports, 1 for full; a report alone never lowers the limit.
func (l *Limiter) ReportLoad(now time.Time, load float64) {
	l.reportedLoad = load
	l.reportedAt = now
}

// Observe adds a finished execution, and returns the change of the limit and whether there is one.
func (l *Limiter) Observe(now time.Time, sample Sample) (Change, bool) {
	l.add(sample)
	if !l.window.complete(now, l.trial.settled) {
		return Change{}, false
	}
	before := l.Limit()
	trialActive := l.trial.active
	reason := l.adjust(now)
	change, changed := l.change(before, reason)
	l.baselines.closeWindow(l.window.maxInflight >= before, !trialActive)
	l.window = window{start: now}

	return change, changed
}

// change returns the change from the previous limit and whether there is one.
func (l *Limiter) change(before int, reason call.Reason) (Change, bool) {
	change := Change{Before: before, Limit: l.Limit(), Reason: reason, Latency: l.window.meanLatency(), Slowness: l.window.slowness()}

	return change, change.Limit != before
}

// setLimit sets the limit, cut to the bounds.
func (l *Limiter) setLimit(limit float64) {
	l.limit = math.Min(math.Max(limit, float64(l.bounds.Min)), float64(l.bounds.Max))
}

// adjust evaluates a complete window, sets the new limit and returns the reason.
func (l *Limiter) adjust(now time.Time) call.Reason {
	w := &l.window
	l.measureThroughput(now)
	l.trialPause = max(l.trialPause-1, 0)
	if float64(w.shed) > maxShedShare*float64(w.samples) {
		return l.decreaseAfterShed()
	}
	if l.trial.active {
		return l.finishTrial(now)
	}
	if !l.slow(now) {
		l.bestThroughput = 0

		return l.grow()
	}
	if l.trialPause > 0 {
		return l.grow()
	}

	return l.startTrial()
}

// add adds a sample to the window and, if it was timed, to the baseline of its kind.
func (l *Limiter) add(s Sample) {
	baseline := time.Duration(0)
	if s.Result == ResultOK || s.Result == ResultDeadlineExceeded {
		baseline = l.baselines.add(s.Kind, s.Latency)
	}
	l.window.add(s, baseline)
}

// acceptLatency makes the current latency the baseline, if it is higher.
func (l *Limiter) acceptLatency() {
	l.baselines.scale(math.Max(l.window.slowness(), 1))
}

// measureThroughput updates the smoothed throughput if the node is saturated and no trial is active.
func (l *Limiter) measureThroughput(now time.Time) {
	if l.trial.active || l.window.maxInflight < l.Limit() {
		return
	}
	throughput := l.window.throughput(now)
	if l.throughput == 0 {
		l.throughput = throughput
	}
	l.throughput += throughputGain * (throughput - l.throughput)
}

// slow reports whether the node is saturated and either responds well above the baseline or misses most deadlines.
func (l *Limiter) slow(now time.Time) bool {
	if l.window.maxInflight < l.Limit() {
		return false
	}
	bound := maxSlowness
	if l.reportedLoad >= 1 && now.Sub(l.reportedAt) < maxReportAge {
		bound = maxSlownessReportedFull
	}
	late := l.window.late*2 > l.window.samples

	return late || l.window.slowness() > bound
}

// decreaseAfterShed lowers the limit to just below the concurrency at which the backend server shed load, by at most a fifth
// at a time.
func (l *Limiter) decreaseAfterShed() call.Reason {
	l.trial = trial{}
	belowShed := float64(l.window.minShedInflight - 1)
	next := math.Max(belowShed, l.limit*shedFactor)
	if next >= l.limit {
		next = l.limit * shedFactor
	}
	l.setLimit(next)
	l.ceiling = l.limit

	return ReasonShed
}

// startTrial lowers the limit for a trial. If the minimum does not permit it, contention can't be the cause of the latency,
// which becomes the baseline.
func (l *Limiter) startTrial() call.Reason {
	if int(l.limit*trialFactor) < l.bounds.Min {
		l.acceptLatency()

		return l.grow()
	}
	l.trial = trial{active: true, previousLimit: l.limit}
	l.bestThroughput = math.Max(l.bestThroughput, l.throughput)
	l.setLimit(l.limit * trialFactor)

	return ReasonTryLess
}

// finishTrial keeps the lower limit only if the throughput did not drop. Otherwise it restores the previous limit and accepts
// the latency, which a slow dependency may cause.
func (l *Limiter) finishTrial(now time.Time) call.Reason {
	if !l.trial.settled {
		l.trial.settled = true

		return ReasonTryLess
	}
	previousLimit := l.trial.previousLimit
	l.trial = trial{}
	saturated := l.window.maxInflight >= l.Limit()
	if saturated && l.window.throughput(now) >= minTrialThroughputShare*l.bestThroughput {
		l.ceiling = l.limit
		l.nextTrialPause = minTrialPauseWindows
		l.trialPause = 1

		return ReasonKeepLess
	}
	l.setLimit(previousLimit)
	l.acceptLatency()
	l.bestThroughput = 0
	l.trialPause = l.nextTrialPause
	l.nextTrialPause = min(l.nextTrialPause*2, maxTrialPauseWindows)

	return ReasonRestore
}

// grow doubles the limit below half of the ceiling. Above that it adds 1, or half of the square root of the limit, if that is
// more and the node is saturated.
func (l *Limiter) grow() call.Reason {
	step := 1.0
	switch {
	case l.limit < l.ceiling/2:
		step = l.limit
	case l.window.maxInflight >= l.Limit():
		step = math.Max(1, math.Sqrt(l.limit)/2)
	}
	l.setLimit(l.limit + step)
	if l.limit > l.ceiling {
		l.ceiling = l.limit
	}

	return ReasonGrow
}
