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
	// minEvidence is the least number of important requests that a judgement rests on.
	minEvidence = 20
	// minSuspicion is the least number for a refusal, where enough others fare clearly better.
	minSuspicion = 8
	// patience is how often the trial's time passes before a lack of requests or of a clear difference decides it.
	patience = 2
	// worseShare is the least share by which the trial must fall behind the control.
	worseShare = 0.01
	// chance is the probability under which as many misses on trial are held for the proposal's doing: 2.5 deviations, one-sided.
	chance = 0.0062
)

// Judge weighs what was seen since the trial began.
func Judge(guard Guard, elapsed time.Duration, views []Comparison) Verdict {
	var below below
	seen := false
	for _, view := range views {
		enough := view.Trial.Offered >= minEvidence
		seen = seen || enough
		if view.Trial.Share() >= guard.Goodput {
			continue
		}
		if view.breaks() {
			return Verdict{Action: ActionRefuse, Reason: ReasonGuardBroken, Detail: view.describe(guard)}
		}
		if enough {
			below.add(guard, view)
		}
	}
	switch {
	case elapsed < guard.Duration:
		return Verdict{Action: ActionWait}
	case !seen:
		return judgeUnseen(guard, elapsed, views)
	case below.detail != "":
		return below.judge(guard, elapsed)
	default:
		return Verdict{Action: ActionAccept, Reason: ReasonGuardHeld, Detail: describeAll(guard, views)}
	}
}

// below gathers the places where the trial falls short of the guard, yet is not clearly worse than the rest.
type below struct {
	detail string
	// chance says that the rest keeps the guard, so that only chance explains the trial.
	chance bool
}

func (b *below) add(guard Guard, view Comparison) {
	b.detail = view.describe(guard)
	b.chance = b.chance || view.Control.Share() >= guard.Goodput
}

func (b *below) judge(guard Guard, elapsed time.Duration) Verdict {
	switch {
	case !b.chance:
		return Verdict{Action: ActionAccept, Reason: ReasonOverloadElsewhere, Detail: b.detail}
	case elapsed < patience*guard.Duration:
		return Verdict{Action: ActionWait}
	default:
		return Verdict{Action: ActionAccept, Reason: ReasonWithinChance, Detail: b.detail}
	}
}

func judgeUnseen(guard Guard, elapsed time.Duration, views []Comparison) Verdict {
	detail := fmt.Sprintf("fewer than %d important requests on trial; %s", minEvidence, describeAll(guard, views))
	switch {
	case guard.Untested:
		return Verdict{Action: ActionAccept, Reason: ReasonUntested, Detail: detail}
	case elapsed < patience*guard.Duration:
		return Verdict{Action: ActionWait}
	default:
		return Verdict{Action: ActionRefuse, Reason: ReasonNoTraffic, Detail: detail + "; propose it as untested to accept it all the same"}
	}
}

// breaks reports whether a share below the guard is the proposal's doing, as far as can be told.
func (v Comparison) breaks() bool {
	if v.Control.Offered < minEvidence {
		return v.Trial.Offered >= minEvidence
	}

	return v.Trial.Offered >= minSuspicion && v.worse()
}

// worse reports whether the trial fell behind the control by more than chance explains.
func (v Comparison) worse() bool {
	return v.Control.Share()-v.Trial.Share() >= worseShare && v.byChance() < chance
}

// byChance is the probability that at least as many of all misses fall on the trial if it makes no difference (Fisher's exact test).
func (v Comparison) byChance() float64 {
	all := v.Trial.Plus(v.Control)
	misses, offered := all.Offered-all.Good, v.Trial.Offered
	whole := logChoose(all.Offered, offered)
	sum := 0.0
	for on := offered - v.Trial.Good; on <= min(misses, offered); on++ {
		if offered-on > all.Good {
			continue
		}
		sum += math.Exp(logChoose(misses, on) + logChoose(all.Good, offered-on) - whole)
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

func (v Comparison) describe(guard Guard) string {
	return fmt.Sprintf("%s: on trial %s, elsewhere %s, guard %.1f%%", v.Name, v.Trial, v.Control, 100*guard.Goodput)
}

func describeAll(guard Guard, views []Comparison) string {
	text := ""
	for i, view := range views {
		if i > 0 {
			text += "; "
		}
		text += view.describe(guard)
	}

	return text
}
