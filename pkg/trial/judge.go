package trial

import (
	"fmt"
	"math"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Count is a number of important requests and how many of them were answered whole and in time.
type Count struct {
	Offered uint64 `json:"offered"`
	Good    uint64 `json:"good"`
}

// Plus returns the sum of both counts.
func (c Count) Plus(other Count) Count {
	return Count{Offered: c.Offered + other.Offered, Good: c.Good + other.Good}
}

// Since returns what came on top of an earlier count, the whole count if the counter began anew.
func (c Count) Since(earlier Count) Count {
	if c.Offered < earlier.Offered || c.Good < earlier.Good {
		return c
	}

	offered := c.Offered - earlier.Offered

	// a request that ended while the earlier count was taken may be missing there among the good ones only
	return Count{Offered: offered, Good: min(c.Good-earlier.Good, offered)}
}

// Share returns the part that was good, one if nothing was offered.
func (c Count) Share() float64 {
	if c.Offered == 0 {
		return 1
	}

	return float64(c.Good) / float64(c.Offered)
}

// String returns the count in words.
func (c Count) String() string {
	if c.Offered == 0 {
		return "no important requests"
	}

	return fmt.Sprintf("%d of %d important requests good (%.1f%%)", c.Good, c.Offered, 100*c.Share())
}

// Comparison is what one kind of place saw, entries or executing nodes, on nodes with and without the proposal.
type Comparison struct {
	Name    string
	Trial   Count
	Control Count
}

// Guard is what a proposal has to keep.
type Guard struct {
	// Goodput is the least share of important requests.
	Goodput float64
	// Duration is how long the trial lasts.
	Duration time.Duration
	// Untested accepts a proposal for which no important requests were seen.
	Untested bool
}

// Action is what a verdict asks for.
type Action string

// Actions of a verdict.
const (
	ActionWait   Action = "wait"
	ActionAccept Action = "accept"
	ActionRefuse Action = "refuse"
)

// Verdict is the judgement on a trial so far.
type Verdict struct {
	Action Action
	Reason call.Reason
	Detail string
}

const (
	// minRequests is the least number of important requests that a judgement rests on.
	minRequests = 20
	// minRefusalRequests is the least number for a refusal, where enough others fare clearly better.
	minRefusalRequests = 8
	// maxTrialFactor is how often the trial's time passes before a lack of requests or of a clear difference decides it.
	maxTrialFactor = 2
	// minDifference is the least share by which the trial must fall behind the control.
	minDifference = 0.01
	// significance is the probability under which as many misses on trial are held for the proposal's doing: 2.5 deviations, one-sided.
	significance = 0.0062
)

// Judge weighs what was seen since the trial began.
func Judge(guard Guard, elapsed time.Duration, comparisons []Comparison) Verdict {
	var short shortfall
	enoughRequests := false
	for _, comparison := range comparisons {
		enough := comparison.Trial.Offered >= minRequests
		enoughRequests = enoughRequests || enough
		if comparison.Trial.Share() >= guard.Goodput {
			continue
		}
		if comparison.breaksGuard() {
			return Verdict{Action: ActionRefuse, Reason: ReasonGuardBroken, Detail: comparison.describe(guard)}
		}
		if enough {
			short.add(guard, comparison)
		}
	}
	switch {
	case elapsed < guard.Duration:
		return Verdict{Action: ActionWait}
	case !enoughRequests:
		return judgeTooFewRequests(guard, elapsed, comparisons)
	case short.detail != "":
		return short.judge(guard, elapsed)
	default:
		return Verdict{Action: ActionAccept, Reason: ReasonGuardHeld, Detail: describeAll(guard, comparisons)}
	}
}

// shortfall gathers the places where the trial falls short of the guard, yet is not clearly worse than the rest.
type shortfall struct {
	detail string
	// controlHolds says that the rest keeps the guard, so that only controlHolds explains the trial.
	controlHolds bool
}

func (s *shortfall) add(guard Guard, comparison Comparison) {
	s.detail = comparison.describe(guard)
	s.controlHolds = s.controlHolds || comparison.Control.Share() >= guard.Goodput
}

func (s *shortfall) judge(guard Guard, elapsed time.Duration) Verdict {
	switch {
	case !s.controlHolds:
		return Verdict{Action: ActionAccept, Reason: ReasonOverloadElsewhere, Detail: s.detail}
	case elapsed < maxTrialFactor*guard.Duration:
		return Verdict{Action: ActionWait}
	default:
		return Verdict{Action: ActionAccept, Reason: ReasonWithinChance, Detail: s.detail}
	}
}

func judgeTooFewRequests(guard Guard, elapsed time.Duration, comparisons []Comparison) Verdict {
	detail := fmt.Sprintf("fewer than %d important requests on trial; %s", minRequests, describeAll(guard, comparisons))
	switch {
	case guard.Untested:
		return Verdict{Action: ActionAccept, Reason: ReasonUntested, Detail: detail}
	case elapsed < maxTrialFactor*guard.Duration:
		return Verdict{Action: ActionWait}
	default:
		return Verdict{Action: ActionRefuse, Reason: ReasonNoTraffic, Detail: detail + "; propose it as untested to accept it all the same"}
	}
}

// breaksGuard reports whether a share below the guard is the proposal's doing, as far as can be told.
func (c Comparison) breaksGuard() bool {
	if c.Control.Offered < minRequests {
		return c.Trial.Offered >= minRequests
	}

	return c.Trial.Offered >= minRefusalRequests && c.significantlyWorse()
}

// significantlyWorse reports whether the trial fell behind the control by more than chance explains.
func (c Comparison) significantlyWorse() bool {
	return c.Control.Share()-c.Trial.Share() >= minDifference && c.pValue() < significance
}

// pValue is the probability that at least as many of all misses fall on the trial if it makes no difference (Fisher's exact test).
func (c Comparison) pValue() float64 {
	total := c.Trial.Plus(c.Control)
	misses, offered := total.Offered-total.Good, c.Trial.Offered
	logTotal := logChoose(total.Offered, offered)
	sum := 0.0
	for trialMisses := offered - c.Trial.Good; trialMisses <= min(misses, offered); trialMisses++ {
		if offered-trialMisses > total.Good {
			continue
		}
		sum += math.Exp(logChoose(misses, trialMisses) + logChoose(total.Good, offered-trialMisses) - logTotal)
	}

	return sum
}

// logChoose returns the logarithm of the number of ways to choose k of n.
func logChoose(n, k uint64) float64 {
	return logFactorial(n) - logFactorial(k) - logFactorial(n-k)
}

func logFactorial(n uint64) float64 {
	value, _ := math.Lgamma(float64(n) + 1)

	return value
}

func (c Comparison) describe(guard Guard) string {
	return fmt.Sprintf("%s: on trial %s, elsewhere %s, guard %.1f%%", c.Name, c.Trial, c.Control, 100*guard.Goodput)
}

func describeAll(guard Guard, comparisons []Comparison) string {
	text := ""
	for i, comparison := range comparisons {
		if i > 0 {
			text += "; "
		}
		text += comparison.describe(guard)
	}

	return text
}
