package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// Reasons of a choice.
const (
	ReasonNear       call.Reason = "near"
	ReasonSpill      call.Reason = "spill"
	ReasonFar        call.Reason = "farOnly"
	ReasonLastResort call.Reason = "lastResort"
)

const (
	// farCost is what a far target must be better by.
	farCost = 0.1
	// kindsMost bounds the kinds of one service that are remembered.
	kindsMost = 256
	// drainMemory is how long a refusal for draining is believed without news from membership.
	drainMemory = 5 * time.Second
)

// Settings bound the choice; they come from the settings tree.
type Settings struct {
	SlowStart  time.Duration
	SpillAt    float64
	EjectAfter int
	EjectFor   time.Duration
	EjectShare float64
	Subset     int
	RetryAfter time.Duration
	// Drain names nodes or data centres that take no new work.
	Drain []string
}

// Query is one call that needs a target.
type Query struct {
	Rank call.Rank
	Kind string
	// Exclude names targets that have already been tried.
	Exclude []string
}

// Choice is the target of an attempt and what led to it.
type Choice struct {
	Entry      member.Entry
	Reason     call.Reason
	Candidates int
	// Cost is the one of the target, Other the one that lost against it, empty for none.
	Cost     float64
	RunnerUp string
}

// Table holds the targets of one service at one entry; its owner serialises calls.
type Table struct {
	self     string
	near     string
	rng      *rand.Rand
	settings Settings
	targets  []*target
	byID     map[string]*target
	updated  bool
	kinds    map[string]call.DecayingThreshold
	// times holds the mean time of answers by kind.
	times map[string]float64

	// nears and fars are the candidates of one choice, kept to save allocations.
	nears []*target
	fars  []*target
}

// New returns an empty table for the entry of that name in that data centre.
func New(self, dataCentre string, rng *rand.Rand) *Table {
	return &Table{self: self, near: dataCentre, rng: rng, byID: map[string]*target{}, kinds: map[string]call.DecayingThreshold{}, times: map[string]float64{}}
}

// Update takes the members of the service and the number of entries in the fleet; a new incarnation starts slowly.
func (t *Table) Update(now time.Time, members []member.Entry, entries int, settings Settings) {
	t.settings = settings
	chosen := subset(t.self, t.near, members, entries, settings.Subset)
	byID := make(map[string]*target, len(chosen))
	targets := make([]*target, 0, len(chosen))
	for i := range chosen {
		known := t.refresh(now, chosen[i])
		byID[chosen[i].ID] = known
		targets = append(targets, known)
	}
	t.byID = byID
	t.targets = targets
	t.updated = true
}

// SetSettings takes the settings of the call that comes next.
func (t *Table) SetSettings(settings Settings) {
	t.settings = settings
}

// refresh returns the target for a member, with what is known of the same incarnation.
func (t *Table) refresh(now time.Time, entry member.Entry) *target {
	known, found := t.byID[entry.ID]
	if found && known.entry.Incarnation == entry.Incarnation {
		if known.entry.State == member.StateWarming && entry.State == member.StateServing {
			known.warmFrom = now
		}
		known.entry = entry

		return known
	}
	fresh := &target{entry: entry, near: entry.DataCentre == t.near}
	if t.updated {
		fresh.warmFrom = now
	}

	return fresh
}

// Pick chooses a target and counts the attempt as its own until Done; below every target's threshold it refuses.
func (t *Table) Pick(now time.Time, q Query) (Choice, *call.Refusal) {
	if threshold := t.kinds[q.Kind].Rank(now); q.Rank < threshold {
		return Choice{}, t.refuse(call.ReasonThreshold).WithThreshold(threshold)
	}
	below := t.collect(now, q, false)
	reason := call.Reason("")
	if len(t.nears)+len(t.fars) == 0 {
		if below > 0 {
			return Choice{}, t.refuse(call.ReasonThreshold).WithThreshold(below)
		}
		t.collect(now, q, true)
		reason = ReasonLastResort
	}
	if len(t.nears)+len(t.fars) == 0 {
		return Choice{}, t.refuse(call.ReasonNoTarget)
	}
	choice := t.choose(now)
	if reason != "" {
		choice.Reason = reason
	}
	t.byID[choice.Entry.ID].inflight++

	return choice, nil
}

// Begin counts an attempt on a target that was not chosen here, such as the home of a once-kind.
func (t *Table) Begin(id string, incarnation uint64) {
	if known, found := t.byID[id]; found && known.entry.Incarnation == incarnation {
		known.inflight++
	}
}

// Done takes the end of an attempt and reports whether it ejected the target.
func (t *Table) Done(now time.Time, id string, incarnation uint64, s Sample) bool {
	known, found := t.byID[id]
	if !found || known.entry.Incarnation != incarnation {
		return false
	}
	known.inflight = max(known.inflight-1, 0)
	known.note(now, s)
	t.learn(now, s)
	t.compare(now, known, s)
	if s.Verdict != VerdictFault {
		if s.Verdict == VerdictOK && known.ejections > 0 && !known.ejected(now) && known.fail(now) < failureGain {
			known.ejections--
		}

		return false
	}

	return t.eject(now, known)
}

// compare tells slow targets from fast ones by the time that they take for answers of one kind.
func (t *Table) compare(now time.Time, known *target, s Sample) {
	if s.Verdict != VerdictOK || s.Latency <= 0 {
		return
	}
	took := float64(s.Latency)
	mean, found := t.times[s.Kind]
	if !found {
		if len(t.times) >= kindsMost {
			clear(t.times)
		}
		mean = took
	}
	t.times[s.Kind] = mean + timeGain*(took-mean)
	known.compare(now, took/mean)
}

// learn takes the rank below which calls of the kind are in vain, wherever they run.
func (t *Table) learn(now time.Time, s Sample) {
	if s.Feedback == nil || s.Kind == "" {
		return
	}
	if s.Feedback.KindThreshold == 0 {
		delete(t.kinds, s.Kind)

		return
	}
	if len(t.kinds) >= kindsMost {
		clear(t.kinds)
	}
	t.kinds[s.Kind] = call.NewDecayingThreshold(now, s.Feedback.KindThreshold)
}

// collect fills the candidates, and returns the lowest threshold of those that were left out only because of it.
func (t *Table) collect(now time.Time, q Query, ejected bool) call.Rank {
	t.nears = t.nears[:0]
	t.fars = t.fars[:0]
	below := call.Rank(0)
	for _, known := range t.targets {
		if !t.eligible(now, known, q) || known.ejected(now) != ejected {
			continue
		}
		if threshold := known.report.wants.Rank(now); q.Rank < threshold {
			if below == 0 || threshold < below {
				below = threshold
			}

			continue
		}
		if known.near {
			t.nears = append(t.nears, known)
		} else {
			t.fars = append(t.fars, known)
		}
	}

	return below
}

func (t *Table) eligible(now time.Time, known *target, q Query) bool {
	entry := &known.entry
	if !entry.TakesWork() || known.report.draining && now.Sub(known.report.at) < drainMemory {
		return false
	}
	if len(t.settings.Drain) > 0 {
		if slices.Contains(t.settings.Drain, entry.ID) || slices.Contains(t.settings.Drain, entry.DataCentre) {
			return false
		}
	}

	return !slices.Contains(q.Exclude, entry.ID)
}

// choose takes the better of two near targets, and lets a far one win once the near one is nearly full or fails.
func (t *Table) choose(now time.Time) Choice {
	count := len(t.nears) + len(t.fars)
	if len(t.nears) == 0 {
		return t.choice(now, t.fars, ReasonFar, count)
	}
	near := t.choice(now, t.nears, ReasonNear, count)
	if near.Cost < t.settings.SpillAt || len(t.fars) == 0 {
		return near
	}
	far := t.choice(now, t.fars, ReasonSpill, count)
	if far.Cost+farCost < near.Cost {
		far.RunnerUp = near.Entry.ID

		return far
	}

	return near
}

// choice takes the better of two random targets.
func (t *Table) choice(now time.Time, from []*target, reason call.Reason, count int) Choice {
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
