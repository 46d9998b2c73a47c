package limit

import (
	"math"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Reasons of a change of the limit.
const (
	ReasonGrow     call.Reason = "limitGrow"
	ReasonShed     call.Reason = "limitBackendShed"
	ReasonTryLess  call.Reason = "limitTryLess"
	ReasonKeepLess call.Reason = "limitKeepLess"
	ReasonRestore  call.Reason = "limitRestore"
	ReasonBounds   call.Reason = "limitBounds"
)

const (
	// tolerance is the latency above the base at which less concurrency is tried.
	tolerance = 2.0
	// reportTolerance is the same once the backend server reports that it is full.
	reportTolerance = 1.3
	reportAge       = time.Second
	rateSmoothing   = 0.3
	tryFactor       = 0.85
	// keepShare is the share of the throughput before that a lower limit has to carry to be kept.
	keepShare  = 0.95
	shedFactor = 0.8
	// shedShare is the share of shed executions in a window that counts as overload.
	shedShare   = 0.02
	holdFirst   = 10
	holdLast    = 100
	unknownMax  = 1024
	unknownInit = 32
)

// Bounds are the lowest and the highest limit, Max zero for a backend server of unknown size.
type Bounds struct {
	Min int
	Max int
}

func (b Bounds) normal() Bounds {
	if b.Max <= 0 {
		b.Max = unknownMax
	}
	b.Min = min(max(b.Min, 1), b.Max)

	return b
}

func (b Bounds) start() int {
	if b.Max <= 0 {
		return unknownInit
	}

	return (b.Max + 1) / 2
}

// Change is a new limit and the cause of it.
type Change struct {
	Before  int
	Limit   int
	Reason  call.Reason
	Latency time.Duration
	// Slowness is the latency as a multiple of the one without contention.
	Slowness float64
}

// trial is an attempt to carry the same throughput with less concurrency.
type trial struct {
	active  bool
	settled bool
	from    float64
}

// Limiter holds the limit of one executing node; its owner serialises calls.
type Limiter struct {
	bounds Bounds
	limit  float64
	// ceiling is where growth turns from doubling to adding.
	ceiling float64
	bases   bases
	// rate is the smoothed throughput of a full node, best the one that a series of trials began with.
	rate   float64
	best   float64
	window window
	trial  trial
	// hold counts the windows until less concurrency may be tried again, wait its next value.
	hold int
	wait int

	reported   float64
	reportedAt time.Time
}

// New returns a limiter that starts at half of its upper bound and grows fast until there is a reason not to.
func New(bounds Bounds, now time.Time) *Limiter {
	start := bounds.start()
	bounds = bounds.normal()
	l := &Limiter{bases: bases{}, bounds: bounds, ceiling: float64(bounds.Max), wait: holdFirst}
	l.set(float64(start))
	l.window.start = now

	return l
}

// Limit returns the number of executions that may run at once.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// SetBounds takes new bounds from the settings.
func (l *Limiter) SetBounds(bounds Bounds) (Change, bool) {
	before := l.Limit()
	l.bounds = bounds.normal()
	l.ceiling = float64(l.bounds.Max)
	l.set(l.limit)

	return l.change(before, ReasonBounds)
}

// ReportLoad notes the backend server's own view of its load, 1 for full; alone it never lowers the limit.
func (l *Limiter) ReportLoad(now time.Time, load float64) {
	l.reported = load
	l.reportedAt = now
}

// Observe takes one finished execution and reports whether the limit changed.
func (l *Limiter) Observe(now time.Time, sample Sample) (Change, bool) {
	l.add(sample)
	if !l.window.full(now, l.trial.settled) {
		return Change{}, false
	}
	before := l.Limit()
	trying := l.trial.active
	reason := l.judge(now)
	change, changed := l.change(before, reason)
	l.bases.roll(l.window.maxInflight >= before, !trying)
	l.window = window{start: now}

	return change, changed
}

func (l *Limiter) change(before int, reason call.Reason) (Change, bool) {
	change := Change{Before: before, Limit: l.Limit(), Reason: reason, Latency: l.window.mean(), Slowness: l.window.slowness()}

	return change, change.Limit != before
}

func (l *Limiter) set(limit float64) {
	l.limit = math.Min(math.Max(limit, float64(l.bounds.Min)), float64(l.bounds.Max))
}

// judge closes a window.
func (l *Limiter) judge(now time.Time) call.Reason {
	w := &l.window
	l.measure(now)
	l.hold = max(l.hold-1, 0)
	if float64(w.shed) > shedShare*float64(w.samples) {
		return l.fall()
	}
	if l.trial.active {
		return l.finishTrial(now)
	}
	if !l.slow(now) {
		l.best = 0

		return l.grow()
	}
	if l.hold > 0 {
		return l.grow()
	}

	return l.startTrial()
}

// add takes a sample into the window.
func (l *Limiter) add(s Sample) {
	base := time.Duration(0)
	if s.Result == ResultOK || s.Result == ResultDeadlineExceeded {
		base = l.bases.add(s.Kind, s.Latency)
	}
	l.window.add(s, base)
}

// accept takes the present latency for the one without contention.
func (l *Limiter) accept() {
	l.bases.scale(math.Max(l.window.slowness(), 1))
}

// measure follows the throughput while the node is full.
func (l *Limiter) measure(now time.Time) {
	if l.trial.active || l.window.maxInflight < l.Limit() {
		return
	}
	rate := l.window.rate(now)
	if l.rate == 0 {
		l.rate = rate
	}
	l.rate += rateSmoothing * (rate - l.rate)
}

// slow reports whether a full node answers much later than it could.
func (l *Limiter) slow(now time.Time) bool {
	if l.window.maxInflight < l.Limit() {
		return false
	}
	limit := tolerance
	if l.reported >= 1 && now.Sub(l.reportedAt) < reportAge {
		limit = reportTolerance
	}
	late := l.window.late*2 > l.window.samples

	return late || l.window.slowness() > limit
}

// fall follows the backend server's own shedding, to where it shed and no further than a fifth at a time.
func (l *Limiter) fall() call.Reason {
	l.trial = trial{}
	lowest := float64(l.window.shedInflight - 1)
	next := math.Max(lowest, l.limit*shedFactor)
	if next >= l.limit {
		next = l.limit * shedFactor
	}
	l.set(next)
	l.ceiling = l.limit

	return ReasonShed
}

// startTrial tries less concurrency; where there is no less, the latency has other causes and becomes the base.
func (l *Limiter) startTrial() call.Reason {
	if int(l.limit*tryFactor) < l.bounds.Min {
		l.accept()

		return l.grow()
	}
	l.trial = trial{active: true, from: l.limit}
	l.best = math.Max(l.best, l.rate)
	l.set(l.limit * tryFactor)

	return ReasonTryLess
}

// finishTrial keeps the lower limit only if throughput did not pay for it: a slow dependency is no reason to run less.
func (l *Limiter) finishTrial(now time.Time) call.Reason {
	if !l.trial.settled {
		l.trial.settled = true

		return ReasonTryLess
	}
	from := l.trial.from
	l.trial = trial{}
	saturated := l.window.maxInflight >= l.Limit()
	if saturated && l.window.rate(now) >= keepShare*l.best {
		l.ceiling = l.limit
		l.wait = holdFirst
		l.hold = 1

		return ReasonKeepLess
	}
	l.set(from)
	l.accept()
	l.best = 0
	l.hold = l.wait
	l.wait = min(l.wait*2, holdLast)

	return ReasonRestore
}

// grow doubles up to the ceiling and adds beyond it, slowly where nobody asks for more.
func (l *Limiter) grow() call.Reason {
	step := 1.0
	switch {
	case l.limit < l.ceiling/2:
		step = l.limit
	case l.window.maxInflight >= l.Limit():
		step = math.Max(1, math.Sqrt(l.limit)/2)
	}
	l.set(l.limit + step)
	if l.limit > l.ceiling {
		l.ceiling = l.limit
	}

	return ReasonGrow
}
