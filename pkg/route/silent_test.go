package route_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/route"
)

const (
	usualLatency = 50 * time.Millisecond
	patience     = 700 * time.Millisecond
	callInterval = 10 * time.Millisecond
	// loadOfOthers is the load of a target by the calls of other entry nodes.
	loadOfOthers = 20
	slots        = 120
)

// flight is an attempt that ends at a time, with or without a response.
type flight struct {
	endsAt  time.Time
	id      string
	latency time.Duration
}

// player sends calls at a rate to targets that respond after a latency, if they respond at all.
type player struct {
	t       *testing.T
	table   *route.Table
	now     time.Time
	flights []flight
	// interval is the time between calls.
	interval time.Duration
	// latency returns the latency of the target, patience or more for one that doesn't respond.
	latency func(id string, now time.Time) time.Duration
	// lastResorts counts the calls for which all targets were avoided.
	lastResorts int
}

// play sends calls for the given time and returns their number by target.
func (p *player) play(span time.Duration) map[string]int {
	p.t.Helper()
	counts := map[string]int{}
	for until := p.now.Add(span); p.now.Before(until); p.now = p.now.Add(p.interval) {
		var left []flight
		for _, each := range p.flights {
			if each.endsAt.After(p.now) {
				left = append(left, each)

				continue
			}
			sample := route.Sample{Verdict: route.VerdictNeutral, Kind: "read", Latency: patience, Unfinished: true}
			if each.latency < patience {
				sample = route.Sample{
					Verdict: route.VerdictOK, Kind: "read", Latency: each.latency,
					Feedback: &call.Feedback{Inflight: loadOfOthers, Limit: slots, State: string(member.StateServing)},
				}
			}
			p.table.Done(p.now, each.id, 1, sample)
		}
		p.flights = left
		choice, refusal := p.table.Pick(p.now, route.Query{Rank: anyCall.Rank, Kind: "read"})
		require.Nil(p.t, refusal)
		counts[choice.Entry.ID]++
		if choice.Reason == route.ReasonLastResort {
			p.lastResorts++
		}
		latency := p.latency(choice.Entry.ID, p.now)
		p.flights = append(p.flights, flight{endsAt: p.now.Add(min(latency, patience)), id: choice.Entry.ID, latency: latency})
	}

	return counts
}

func newPlayer(t *testing.T, entries []member.Entry, latency func(id string, now time.Time) time.Duration) *player {
	t.Helper()

	for i := range entries {
		entries[i].Slots = slots
	}

	return &player{t: t, table: table(entries), now: start, interval: callInterval, latency: latency}
}

// A node is frozen for four seconds while its connections stay open. It gets what an entry node sends before it can know, then one
// attempt at a time, and its share again as soon as it responds.
func TestSilentTargetGetsOneAttemptAtATime(t *testing.T) {
	frozenUntil := start.Add(time.Second + 4*time.Second)
	p := newPlayer(t, members("a", "a", "a"), func(id string, now time.Time) time.Duration {
		if id == "n1" && now.After(start.Add(time.Second)) && now.Before(frozenUntil) {
			return patience
		}

		return usualLatency
	})
	require.Greater(t, p.play(time.Second)["n1"], 20)
	// half a second of its share, with some chance, and one attempt for each time that one is waited for
	const mostSent = 25 + int(4*time.Second/patience)
	require.LessOrEqual(t, p.play(4 * time.Second)["n1"], mostSent)
	p.play(patience)
	require.Greater(t, p.play(time.Second)["n1"], 20)
}

// All backend servers turn twelve times slower. Responses still come, so none of them is silent.
func TestSlowTargetsAreNotSilent(t *testing.T) {
	p := newPlayer(t, members("a", "a", "a"), func(_ string, now time.Time) time.Duration {
		if now.After(start.Add(time.Second)) {
			return 12 * usualLatency
		}

		return usualLatency
	})
	p.play(time.Second + 2*12*usualLatency)
	p.lastResorts = 0
	p.play(5 * time.Second)
	require.Zero(t, p.lastResorts)
}

func TestSilentTargetsAreTheLastResort(t *testing.T) {
	p := newPlayer(t, members("a", "a"), func(string, time.Time) time.Duration { return patience })
	counts := p.play(4 * time.Second)
	require.Greater(t, counts["n0"], 100)
	require.Greater(t, counts["n1"], 100)
}

// An attempt that its caller has cancelled says nothing about the target.
func TestCancelledAttemptDoesNotSilenceATarget(t *testing.T) {
	table := table(members("a"))
	choice, refusal := table.Pick(start, anyCall)
	require.Nil(t, refusal)
	table.Done(start.Add(usualLatency), choice.Entry.ID, 1, route.Sample{Verdict: route.VerdictNeutral})
	for range 3 {
		choice, refusal = table.Pick(start.Add(time.Minute), anyCall)
		require.Nil(t, refusal)
		require.Equal(t, route.ReasonNear, choice.Reason)
	}
}

// A backend server is so slow that most of its calls end at their deadline, and responds to a few others at once.
func TestTargetWhoseCallsTimeOutIsSlow(t *testing.T) {
	calls := 0
	p := newPlayer(t, members("a", "a", "a"), func(id string, now time.Time) time.Duration {
		if calls++; id == "n1" && now.After(start.Add(time.Second)) && calls%5 != 0 {
			return patience
		}

		return usualLatency
	})
	require.Greater(t, p.play(time.Second)["n1"], 20)
	// one of many entry nodes, with few calls in flight at a time
	p.interval = 10 * callInterval
	p.play(4 * time.Second)
	counts := p.play(20 * time.Second)
	require.Less(t, counts["n1"]*3, counts["n0"])
}

// The only near backend server is slow while little is asked of it, and far ones are well.
func TestSlowNearTargetGivesCallsToFarOnes(t *testing.T) {
	p := newPlayer(t, members("a", "b", "b"), func(id string, now time.Time) time.Duration {
		if id == "n0" && now.After(start.Add(time.Second)) {
			return 8 * usualLatency
		}

		return usualLatency
	})
	require.Equal(t, 100, p.play(time.Second)["n0"])
	p.play(2 * time.Second)
	counts := p.play(5 * time.Second)
	require.Less(t, counts["n0"], counts["n1"]+counts["n2"])
}
