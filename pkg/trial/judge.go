package trial

import (
	"fmt"
	"math"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Count holds the number of important requests (classes high and vital) and of those answered completely and in time.
type Count struct {
	Offered uint64 `json:"offered"`
	Good    uint64 `json:"good"`
}

// Plus returns the sum of the counts.
func (c Count) Plus(other Count) Count {
	return Count{Offered: c.Offered + other.Offered, Good: c.Good + other.Good}
}

// Since returns the increase over an earlier count, or the whole count if the counter was reset in between.
func (c Count) Since(earlier Count) Count {
	if c.Offered < earlier.Offered || c.Good < earlier.Good {
		return c
	}

	offered := c.Offered - earlier.Offered

	// the fields are not read atomically: the earlier count may contain a request as offered, but not yet as good
	return Count{Offered: offered, Good: min(c.Good-earlier.Good, offered)}
}

// Share returns the share of good requests, 1 if none were offered.
func (c Count) Share() float64 {
	if c.Offered == 0 {
		return 1
	}

	return float64(c.Good) / float64(c.Offered)
}

// String formats the count for the details of a verdict.
func (c Count) String() string {
	if c.Offered == 0 {
		return "no important requests"
	}

	return fmt.Sprintf("%d of %d important requests good (%.1f%%)", c.Good, c.Offered, 100*c.Share())
}

// Comparison holds the counts of nodes with the proposal (Trial) and without it (Control), as seen in one role: by entry nodes or
// by executing nodes.
type Comparison struct {
	Name    string
	Trial   Count
	Control Count
}

// Guard holds the conditions for accepting a proposal.
type Guard struct {
	// Goodput is the minimum share of good requests among the important ones.
	Goodput float64
	// Duration is the regular duration of the trial. A trial without a clear result is extended to maxTrialFactor times as long.
	Duration time.Duration
	// Untested accepts the proposal even if there were too few important requests for a decision.
	Untested bool
}

// Action is the decision of a verdict.
type Action string

// Actions of a verdict.
const (
	ActionWait   Action = "wait"
	ActionAccept Action = "accept"
	ActionRefuse Action = "refuse"
)

// Verdict is the decision about a trial; Reason and Detail are empty for ActionWait.
type Verdict struct {
	Action Action
	Reason call.Reason
	Detail string
}

const (
	// minRequests is the minimum number of important requests for a decision.
	minRequests = 20
	// minRefusalRequests is the minimum number on trial for a refusal if the control group, with at least minRequests, is
	// significantly better.
	minRefusalRequests = 8
	// maxTrialFactor limits the extension of a trial with too few requests or no significant difference, as a multiple of its
	// duration.
	maxTrialFactor = 2
	// minDifference is the minimum difference in goodput for which the trial counts as worse than the control group.
	minDifference = 0.01
	// significance is the p-value below which the proposal is taken as the cause of the failures on trial: 2.5 standard
	// deviations, one-sided.
	significance = 0.0062
)

// Judge decides about a trial from the counts since its start.
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

// shortfall collects the comparisons in which the trial is below the guard, but not significantly worse than the control group.
type shortfall struct {
	detail string
	// controlHolds reports that the control group meets the guard in at least one of them, so that a general overload does not
	// explain the shortfall.
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

// judgeTooFewRequests decides about a trial without enough important requests.
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

// breaksGuard reports whether a goodput below the guard is attributed to the proposal. If the control group has too few
// requests for a comparison, it is as soon as the trial has minRequests.
func (c Comparison) breaksGuard() bool {
	if c.Control.Offered < minRequests {
		return c.Trial.Offered >= minRequests
	}

	return c.Trial.Offered >= minRefusalRequests && c.significantlyWorse()
}

// significantlyWorse reports whether the trial is worse than the control group by more than chance explains.
func (c Comparison) significantlyWorse() bool {
	return c.Control.Share()-c.Trial.Share() >= minDifference && c.pValue() < significance
}

// pValue returns the probability that at least as many of all failed requests fall on the trial if the proposal has no effect
// (Fisher's exact test, one-sided).
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

// logChoose returns the natural logarithm of the binomial coefficient n over k.
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
