package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// Reasons for a choice. Near targets are in the data centre of the entry node, far targets in another one.
const (
	ReasonNear call.Reason = "near"
	// ReasonSpill means that a far target costs less than a near one whose cost has reached SpillAt.
	ReasonSpill call.Reason = "spill"
	// ReasonFar means that no near target is eligible.
	ReasonFar call.Reason = "farOnly"
	// ReasonLastResort means that all eligible targets are ejected or silent.
	ReasonLastResort call.Reason = "lastResort"
)

const (
	// farCostMargin is how much less than the near target a far target must cost to be chosen.
	farCostMargin = 0.1
	// spillSlowness is the slowness of a near target from which far targets are considered.
	spillSlowness = 1.5
	// maxKinds bounds the kinds of request for which a table keeps thresholds and latencies.
	maxKinds = 256
	// maxDrainReportAge is how long a target is skipped after it reported that it drains, unless membership confirms it.
	maxDrainReportAge = 5 * time.Second
)

// Settings holds the routing parameters from the settings of a service.
type Settings struct {
	// SlowStart is the time over which a new target ramps up to its full share.
	SlowStart time.Duration
	// SpillAt is the cost of a near target from which far targets are considered.
	SpillAt float64
	// EjectAfter is the number of consecutive faults after which a target may be ejected.
	EjectAfter int
	// EjectFor is the duration of the first ejection of a target.
	EjectFor time.Duration
	// EjectShare is the largest share of the targets that may be ejected at a time.
	EjectShare float64
	// Subset is the number of targets that an entry node connects to, zero to derive it from the connections of the targets.
	Subset int
	// RetryAfter is the mean retry delay that a refusal asks for.
	RetryAfter time.Duration
	// Drain lists names of nodes and data centres that get no new calls.
	Drain []string
}

// Query describes an attempt that needs a target.
type Query struct {
	Rank call.Rank
	Kind string
	// Exclude lists the nodes that have already been tried.
	Exclude []string
}

// Choice is the target chosen for an attempt, with the reason and data for the decision log.
type Choice struct {
	Entry  member.Entry
	Reason call.Reason
	// Candidates is the number of eligible targets.
	Candidates int
	// Cost is the cost of the target, RunnerUp the node that it was compared with, empty for none.
	Cost     float64
	RunnerUp string
}

// Table holds the targets of one service as seen by one entry node. It is not safe for concurrent use.
type Table struct {
	self       string
	dataCentre string
	rng        *rand.Rand
	settings   Settings
	targets    []*target
	byID       map[string]*target
	// populated says that Update has been called; targets added later ramp up slowly.
	populated      bool
	kindThresholds map[string]call.DecayingThreshold
	// kindLatencies holds the moving average of the latency by kind, in nanoseconds.
	kindLatencies map[string]float64

	// nearTargets and farTargets are the candidates of the current choice, reused to save allocations.
	nearTargets []*target
	farTargets  []*target
}

// New returns an empty table for the entry node self in the given data centre.
func New(self, dataCentre string, rng *rand.Rand) *Table {
	return &Table{
		self: self, dataCentre: dataCentre, rng: rng, byID: map[string]*target{},
		kindThresholds: map[string]call.DecayingThreshold{}, kindLatencies: map[string]float64{},
	}
}

// Update replaces the targets by a subset of the members of the service, sized for the number of entry nodes (entries). State
// of known incarnations is kept; targets new since the first Update ramp up over SlowStart.
func (t *Table) Update(now time.Time, members []member.Entry, entries int, settings Settings) {
	t.settings = settings
	chosen := subset(t.self, t.dataCentre, members, entries, settings.Subset)
	byID := make(map[string]*target, len(chosen))
	targets := make([]*target, 0, len(chosen))
	for i := range chosen {
		current := t.targetFor(now, chosen[i])
		byID[chosen[i].ID] = current
		targets = append(targets, current)
	}
	t.byID = byID
	t.targets = targets
	t.populated = true
}

// SetSettings sets the settings for the following calls.
func (t *Table) SetSettings(settings Settings) {
	t.settings = settings
}

// targetFor returns the target for a member: the existing one if the incarnation is the same, else a new one.
func (t *Table) targetFor(now time.Time, entry member.Entry) *target {
	existing, found := t.byID[entry.ID]
	if found && existing.entry.Incarnation == entry.Incarnation {
		if existing.entry.State == member.StateWarming && entry.State == member.StateServing {
			existing.warmUpStartedAt = now
		}
		existing.entry = entry

		return existing
	}
	created := &target{entry: entry, near: entry.DataCentre == t.dataCentre}
	if t.populated {
		created.warmUpStartedAt = now
	}

	return created
}

// Pick chooses a target and counts the attempt as in flight there until Done. It refuses a call whose rank is below the
// threshold of its kind or of every eligible target.
func (t *Table) Pick(now time.Time, q Query) (Choice, *call.Refusal) {
	if threshold := t.kindThresholds[q.Kind].Rank(now); q.Rank < threshold {
		return Choice{}, t.refuse(call.ReasonThreshold).WithThreshold(threshold)
	}
	below := t.collectCandidates(now, q, false)
	reason := call.Reason("")
	if len(t.nearTargets)+len(t.farTargets) == 0 {
		if below > 0 {
			return Choice{}, t.refuse(call.ReasonThreshold).WithThreshold(below)
		}
		t.collectCandidates(now, q, true)
		reason = ReasonLastResort
	}
	if len(t.nearTargets)+len(t.farTargets) == 0 {
		return Choice{}, t.refuse(call.ReasonNoTarget)
	}
	choice := t.pickByDataCentre(now)
	if reason != "" {
		choice.Reason = reason
	}
	t.byID[choice.Entry.ID].begin(now, t.responseTime(q.Kind))

	return choice, nil
}

// Begin counts an attempt as in flight on a target that Pick did not choose, such as the home of a once operation, the only
// node incarnation that may run it.
func (t *Table) Begin(now time.Time, id string, incarnation uint64, kind string) {
	if executing, found := t.byID[id]; found && executing.entry.Incarnation == incarnation {
		executing.begin(now, t.responseTime(kind))
	}
}

// Done records the result of an attempt and reports whether it led to the ejection of the target.
func (t *Table) Done(now time.Time, id string, incarnation uint64, s Sample) bool {
	executing, found := t.byID[id]
	if !found || executing.entry.Incarnation != incarnation {
		return false
	}
	silent := executing.silent(now)
	executing.end(now, s.responded())
	executing.record(now, s)
	t.recordKindThreshold(now, s)
	if !silent {
		// otherwise the latency says for how long the target was silent, and not how slow it is
		t.recordLatency(now, executing, s)
	}
	if s.Verdict != VerdictFault {
		// A success at a low failure rate shortens the next ejection again.
		if s.Verdict == VerdictOK && executing.ejections > 0 && !executing.ejected(now) &&
			executing.failureRate(now) < failureSmoothing {
			executing.ejections--
		}

		return false
	}

	return t.eject(now, executing)
}

// recordLatency updates the average latency of the kind, and the slowness of the target relative to that average. An attempt that ended
// without a response would have taken longer still: it counts as slow and as failed if it has already taken longer than usual. Otherwise a
// target that is too slow for most of its calls would be known by the few that it responded to in time.
func (t *Table) recordLatency(now time.Time, executing *target, s Sample) {
	if s.Latency <= 0 || s.Verdict != VerdictOK && !s.Unfinished {
		return
	}
	latency := float64(s.Latency)
	mean, found := t.kindLatencies[s.Kind]
	if s.Verdict != VerdictOK {
		if found && latency > mean {
			executing.recordLatencyRatio(now, latency/mean, unfinishedSmoothing)
			executing.updateFailureRate(now, 1, unfinishedSmoothing)
		}

		return
	}
	if !found {
		if len(t.kindLatencies) >= maxKinds {
			clear(t.kindLatencies)
		}
		mean = latency
	}
	t.kindLatencies[s.Kind] = mean + latencySmoothing*(latency-mean)
	executing.recordLatencyRatio(now, latency/mean, slownessSmoothing)
}

// responseTime returns the time without any response after which the target of an attempt of the kind counts as silent.
func (t *Table) responseTime(kind string) time.Duration {
	return max(minSilence, time.Duration(silenceFactor*t.kindLatencies[kind]))
}

// recordKindThreshold stores the reported rank below which calls of the kind fail on any node, as their nested calls are refused.
func (t *Table) recordKindThreshold(now time.Time, s Sample) {
	if s.Feedback == nil || s.Kind == "" {
		return
	}
	if s.Feedback.KindThreshold == 0 {
		delete(t.kindThresholds, s.Kind)

		return
	}
	if len(t.kindThresholds) >= maxKinds {
		clear(t.kindThresholds)
	}
	t.kindThresholds[s.Kind] = call.NewDecayingThreshold(now, s.Feedback.KindThreshold)
}

// collectCandidates collects the eligible targets that are to be avoided, because they are ejected or silent, or those that are not. It
// returns the lowest threshold among those left out because the rank is below their threshold, zero if there are none.
func (t *Table) collectCandidates(now time.Time, q Query, avoided bool) call.Rank {
	t.nearTargets = t.nearTargets[:0]
	t.farTargets = t.farTargets[:0]
	below := call.Rank(0)
	for _, candidate := range t.targets {
		if !t.eligible(now, candidate, q) || (candidate.ejected(now) || candidate.silent(now)) != avoided {
			continue
		}
		if threshold := candidate.report.threshold.Rank(now); q.Rank < threshold {
			if below == 0 || threshold < below {
				below = threshold
			}

			continue
		}
		if candidate.near {
			t.nearTargets = append(t.nearTargets, candidate)
		} else {
			t.farTargets = append(t.farTargets, candidate)
		}
	}

	return below
}

func (t *Table) eligible(now time.Time, candidate *target, q Query) bool {
	entry := &candidate.entry
	if !entry.AcceptsCalls() || candidate.report.draining && now.Sub(candidate.report.receivedAt) < maxDrainReportAge {
		return false
	}
	if len(t.settings.Drain) > 0 {
		if slices.Contains(t.settings.Drain, entry.ID) || slices.Contains(t.settings.Drain, entry.DataCentre) {
			return false
		}
	}

	return !slices.Contains(q.Exclude, entry.ID)
}

// pickByDataCentre prefers a near target. Once the cost of that target reaches SpillAt, or it is much slower than others, a far one is
// chosen if it costs less by farCostMargin.
func (t *Table) pickByDataCentre(now time.Time) Choice {
	count := len(t.nearTargets) + len(t.farTargets)
	if len(t.nearTargets) == 0 {
		return t.pickOfTwo(now, t.farTargets, ReasonFar, count)
	}
	near := t.pickOfTwo(now, t.nearTargets, ReasonNear, count)
	slow := t.byID[near.Entry.ID].slowness(now) >= spillSlowness
	if len(t.farTargets) == 0 || near.Cost < t.settings.SpillAt && !slow {
		return near
	}
	far := t.pickOfTwo(now, t.farTargets, ReasonSpill, count)
	if far.Cost+farCostMargin < near.Cost {
		far.RunnerUp = near.Entry.ID

		return far
	}

	return near
}

// pickOfTwo returns the cheaper of two targets drawn at random (power of two choices).
func (t *Table) pickOfTwo(now time.Time, from []*target, reason call.Reason, count int) Choice {
	first := t.rng.IntN(len(from))
	best := from[first]
	choice := Choice{Reason: reason, Candidates: count, Cost: best.cost(now, t.settings.SlowStart)}
	if len(from) > 1 {
		second := (first + 1 + t.rng.IntN(len(from)-1)) % len(from)
		other := from[second]
		choice.RunnerUp = other.entry.ID
		if cost := other.cost(now, t.settings.SlowStart); cost < choice.Cost {
			choice.Cost = cost
			choice.RunnerUp = best.entry.ID
			best = other
		}
	}
	choice.Entry = best.entry

	return choice
}

func (t *Table) refuse(reason call.Reason) *call.Refusal {
	after := time.Duration(float64(t.settings.RetryAfter) * (0.5 + t.rng.Float64()))

	return call.NewRefusal(call.OutcomeNotRun, reason).WithRetryAfter(after)
}
