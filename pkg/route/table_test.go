package route_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/route"
)

var start = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
	os.Exit(m.Run())
}

func settings() route.Settings {
	return route.Settings{
		SlowStart: 2 * time.Second, SpillAt: 0.8, EjectAfter: 5, EjectFor: time.Second, EjectShare: 0.34,
		RetryAfter: time.Second,
	}
}

func members(places ...string) []member.Entry {
	entries := make([]member.Entry, 0, len(places))
	for i, place := range places {
		entries = append(entries, member.Entry{
			ID: fmt.Sprintf("n%d", i), Incarnation: 1, DataCentre: place, Service: "s",
			State: member.StateServing, Slots: 10, Connections: 100,
		})
	}

	return entries
}

func table(entries []member.Entry) *route.Table {
	t := route.New("me", "a", rand.New(rand.NewPCG(1, 2)))
	t.Update(start, entries, 10, settings())

	return t
}

var anyCall = route.Query{Rank: call.ClassNormal.MinRank()}

// run makes calls one after the other, 1 ms apart, and returns their number by target.
func run(t require.TestingT, table *route.Table, now time.Time, calls int, result func(id string) route.Sample) map[string]int {
	counts := map[string]int{}
	for i := range calls {
		at := now.Add(time.Duration(i) * time.Millisecond)
		choice, refusal := table.Pick(at, anyCall)
		require.Nil(t, refusal)
		counts[choice.Entry.ID]++
		table.Done(at, choice.Entry.ID, choice.Entry.Incarnation, result(choice.Entry.ID))
	}

	return counts
}

func ok(string) route.Sample { return route.Sample{Verdict: route.VerdictOK} }

func TestPrefersNearTargetsAndSpillsWhenTheyAreFull(t *testing.T) {
	table := table(members("a", "a", "b", "b"))
	counts := run(t, table, start, 100, ok)
	require.Zero(t, counts["n2"]+counts["n3"])

	far := 0
	for range 40 {
		choice, refusal := table.Pick(start, anyCall)
		require.Nil(t, refusal)
		if choice.Reason == route.ReasonSpill {
			far++
		}
	}
	require.InDelta(t, 22, far, 4, "the 40 calls fill all 40 slots; far targets are used once the near ones reach SpillAt")
}

func TestTargetThatFailsFastGetsFewCalls(t *testing.T) {
	table := table(members("a", "a"))
	counts := run(t, table, start, 2000, func(id string) route.Sample {
		if id == "n0" {
			return route.Sample{Verdict: route.VerdictFault}
		}

		return route.Sample{Verdict: route.VerdictOK}
	})
	require.Less(t, counts["n0"], 60)
	require.Positive(t, counts["n0"], "a failing target is retried occasionally")
}

func TestSilentConnectionIsNotAFault(t *testing.T) {
	require.Equal(t, route.VerdictNeutral, route.VerdictFor(call.OutcomeUnknown, call.ReasonSilent))
	require.Equal(t, route.VerdictFault, route.VerdictFor(call.OutcomeNotRun, call.ReasonConnect))
	table := table(members("a", "a", "a"))
	counts := run(t, table, start, 300, func(id string) route.Sample {
		if id == "n0" {
			return route.Sample{Verdict: route.VerdictFor(call.OutcomeUnknown, call.ReasonSilent)}
		}

		return ok(id)
	})
	require.Greater(t, counts["n0"], 60)
	require.Empty(t, table.Ejected(start))
}

func TestNewIncarnationStartsSlowly(t *testing.T) {
	entries := members("a", "a", "a", "a")
	table := table(entries)
	replaced := members("a", "a", "a", "a")
	replaced[0].Incarnation = 2
	table.Update(start, replaced, 10, settings())
	held := map[string]int{}
	for range 16 {
		choice, _ := table.Pick(start, anyCall)
		held[choice.Entry.ID]++
	}
	require.LessOrEqual(t, held["n0"], 1)
	later := start.Add(3 * time.Second)
	for range 16 {
		choice, _ := table.Pick(later, anyCall)
		held[choice.Entry.ID]++
	}
	require.GreaterOrEqual(t, held["n0"], 5)
	require.False(t, table.Done(later, "n0", 1, route.Sample{Verdict: route.VerdictFault}), "results of an old incarnation are ignored")
}

func TestEarlyRefusalBelowTheThreshold(t *testing.T) {
	table := table(members("a", "b"))
	loaded := func(string) route.Sample {
		return route.Sample{Verdict: route.VerdictOK, Feedback: &call.Feedback{Threshold: call.ClassHigh.MinRank(), Limit: 10}}
	}
	for _, id := range []string{"n0", "n1"} {
		table.Begin(start, id, 1, "")
		table.Done(start, id, 1, loaded(id))
	}
	_, refusal := table.Pick(start, anyCall)
	require.Equal(t, call.ReasonThreshold, refusal.Reason)
	require.Equal(t, call.OutcomeNotRun, refusal.Outcome)
	require.InDelta(t, time.Second, refusal.RetryAfter, float64(501*time.Millisecond))
	_, refusal = table.Pick(start, route.Query{Rank: call.ClassHigh.MinRank()})
	require.Nil(t, refusal)
	_, refusal = table.Pick(start.Add(2*time.Second), anyCall)
	require.Nil(t, refusal, "a threshold decays if it is not reported again")
}

func TestDrainingTargetsGetNoCalls(t *testing.T) {
	table := table(members("a", "a"))
	table.Begin(start, "n0", 1, "")
	table.Done(start, "n0", 1, route.Sample{Verdict: route.VerdictFor(call.OutcomeNotRun, call.ReasonDraining)})
	counts := run(t, table, start, 100, ok)
	require.Equal(t, 100, counts["n1"])
	drained := settings()
	drained.Drain = []string{"n1"}
	table.Update(start, members("a", "a"), 10, drained)
	_, refusal := table.Pick(start, anyCall)
	require.Equal(t, call.ReasonNoTarget, refusal.Reason)
}

func TestEjectionNeverEmptiesAService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		places := make([]string, n)
		for i := range places {
			places[i] = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "place")
		}
		table := table(members(places...))
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond)
			choice, refusal := table.Pick(now, anyCall)
			require.Nil(t, refusal)
			table.Done(now, choice.Entry.ID, 1, route.Sample{
				Verdict: route.Verdict(rapid.SampledFrom([]int{0, 1, 1, 1, 2, 4}).Draw(t, "verdict")),
			})
			require.LessOrEqual(t, len(table.Ejected(now)), int(settings().EjectShare*float64(n)))
		}
	})
}

func TestOnlyTheOutlierIsEjected(t *testing.T) {
	fault := func(string) route.Sample { return route.Sample{Verdict: route.VerdictFault} }
	all := table(members("a", "a", "a", "a"))
	run(t, all, start, 400, fault)
	require.LessOrEqual(t, len(all.Ejected(start.Add(400*time.Millisecond))), 1)

	one := table(members("a", "a", "a", "a"))
	for range 5 {
		one.Begin(start, "n2", 1, "")
		one.Done(start, "n2", 1, fault(""))
	}
	require.Equal(t, []string{"n2"}, one.Ejected(start))
	require.Empty(t, one.Ejected(start.Add(time.Second)))
}

func TestSubsetsRespectConnections(t *testing.T) {
	places := make([]string, 40)
	for i := range places {
		places[i] = []string{"a", "b", "c", "d"}[i%4]
	}
	entries := members(places...)
	perTarget := map[string]int{}
	for e := range 300 {
		name := fmt.Sprintf("entry%d", e)
		chosen := map[string]bool{}
		for seed := range uint64(2) {
			table := route.New(name, []string{"a", "b", "c", "d"}[e%4], rand.New(rand.NewPCG(seed, 1)))
			table.Update(start, entries, 300, settings())
			for id := range run(t, table, start, 200, ok) {
				chosen[id] = true
			}
		}
		require.LessOrEqual(t, len(chosen), 6)
		for id := range chosen {
			perTarget[id]++
		}
	}
	for id, count := range perTarget {
		require.LessOrEqual(t, count, 100, id)
	}
}

func BenchmarkPickDone(b *testing.B) {
	for _, n := range []int{5, 40} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			places := make([]string, n)
			for i := range places {
				places[i] = []string{"a", "b", "c", "d"}[i%4]
			}
			table := table(members(places...))
			feedback := &call.Feedback{Limit: 10, Inflight: 3}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				choice, _ := table.Pick(start, anyCall)
				table.Done(start, choice.Entry.ID, 1, route.Sample{Feedback: feedback})
			}
		})
	}
}

// One of four targets has 12 times the latency of the others, at about half of the load that all can carry.
// It must get far less than an even share of the calls.
func TestSlowTargetGetsLessThanItsShare(t *testing.T) {
	now := time.Now()
	table := route.New("self", "hal-a", rand.New(rand.NewPCG(1, 2)))
	var members []member.Entry
	for _, id := range []string{"a", "b", "c", "slow"} {
		members = append(members, member.Entry{ID: id, DataCentre: "hal-a", Service: "s", State: member.StateServing, Slots: 20})
	}
	table.Update(now, members, 1, route.Settings{SpillAt: 0.7, EjectAfter: 3, EjectShare: 0.5})
	type running struct {
		id      string
		until   time.Time
		latency time.Duration
	}
	var inflight []running
	counts := map[string]int{}
	for step := range 6000 {
		now = now.Add(3 * time.Millisecond)
		unfinished := inflight[:0]
		for _, r := range inflight {
			if r.until.After(now) {
				unfinished = append(unfinished, r)

				continue
			}
			table.Done(now, r.id, 0, route.Sample{Verdict: route.VerdictOK, Kind: "k", Latency: r.latency})
		}
		inflight = unfinished
		choice, refusal := table.Pick(now, route.Query{Rank: call.MaxRank, Kind: "k"})
		require.Nil(t, refusal)
		latency := 80 * time.Millisecond
		if choice.Entry.ID == "slow" {
			latency *= 12
		}
		inflight = append(inflight, running{id: choice.Entry.ID, until: now.Add(latency), latency: latency})
		if step >= 1000 {
			counts[choice.Entry.ID]++
		}
	}
	require.Less(t, counts["slow"], 5000/25, "calls to the slow target, of 5,000 in all")
	require.Greater(t, counts["slow"], 0, "a slow target still gets some calls, so that its recovery is noticed")
}
