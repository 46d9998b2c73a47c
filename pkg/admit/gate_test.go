package admit_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/admit"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

var start = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
	os.Exit(m.Run())
}

func settings() admit.Settings {
	return admit.Settings{
		QueueLength: 32, QueueWait: 100 * time.Millisecond, StreamShare: 0.25,
		BufferTotal: 1 << 20, RetryAfter: time.Second,
	}
}

// simulation drives a gate in steps of 1 ms and records its decisions.
type simulation struct {
	gate      *admit.Gate
	now       time.Time
	service   time.Duration
	items     map[call.ID]admit.Item
	endsAt    map[call.ID]time.Time
	decisions map[call.ID]admit.Decision
	next      int
}

func newSimulation(limit int) *simulation {
	return &simulation{
		gate: admit.New(settings(), limit, rand.New(rand.NewPCG(1, 2))), now: start, service: 20 * time.Millisecond,
		items: map[call.ID]admit.Item{}, endsAt: map[call.ID]time.Time{}, decisions: map[call.ID]admit.Decision{},
	}
}

func (s *simulation) record(decisions []admit.Decision) {
	for _, d := range decisions {
		s.decisions[d.Op] = d
		if d.Verdict == admit.Run {
			s.endsAt[d.Op] = s.now.Add(s.service)
			if s.items[d.Op].Stream {
				s.endsAt[d.Op] = s.now.Add(time.Minute)
			}
		}
	}
}

func (s *simulation) offer(class call.Class, caller string, stream bool) call.ID {
	s.next++
	op := call.ID(fmt.Sprint(s.next))
	item := admit.Item{
		Op: op, Rank: call.NewRank(class, call.Root(op)), Kind: class.String(), Caller: caller,
		Deadline: s.now.Add(500 * time.Millisecond), Stream: stream,
	}
	s.items[op] = item
	s.record(s.gate.Offer(s.now, item))

	return op
}

func (s *simulation) step() {
	s.now = s.now.Add(time.Millisecond)
	for op, end := range s.endsAt {
		if !end.After(s.now) {
			delete(s.endsAt, op)
			s.record(s.gate.Release(s.now, op, admit.ResultOK))
		}
	}
	s.record(s.gate.Tick(s.now))
}

// ranShare returns the share of the matching items that ran.
func (s *simulation) ranShare(matches func(admit.Item) bool) float64 {
	ran, all := 0, 0
	for op, item := range s.items {
		if !matches(item) {
			continue
		}
		all++
		if s.decisions[op].Verdict == admit.Run {
			ran++
		}
	}

	return float64(ran) / float64(all)
}

func ofClass(class call.Class) func(admit.Item) bool {
	return func(i admit.Item) bool { return i.Rank.Class() == class }
}

// Ten slots and a service time of 20 ms serve one call every 2 ms; 2.1 calls per ms are more than fourfold overload.
func TestImportantWorkIsRefusedLast(t *testing.T) {
	s := newSimulation(10)
	for i := range 3000 {
		s.offer(call.ClassBulk, "a", false)
		s.offer(call.ClassNormal, "a", false)
		if i%10 == 0 {
			s.offer(call.ClassVital, "a", false)
		}
		s.step()
	}
	require.Equal(t, 1.0, s.ranShare(ofClass(call.ClassVital)))
	require.Greater(t, s.ranShare(ofClass(call.ClassNormal)), 0.35)
	require.Less(t, s.ranShare(ofClass(call.ClassBulk)), 0.02)
	threshold := s.gate.Load().Threshold
	require.Greater(t, threshold, call.ClassNormal.MinRank())
	require.LessOrEqual(t, threshold, call.ClassVital.MinRank())

	for range 1000 {
		s.step()
	}
	require.Zero(t, s.gate.Load().Threshold, "the threshold falls to zero after the overload")
}

// At four times the capacity the node still runs at least 95% of the calls that it could.
func TestThroughputIsKeptUnderOverload(t *testing.T) {
	s := newSimulation(10)
	for range 2000 {
		s.offer(call.ClassNormal, "a", false)
		s.offer(call.ClassNormal, "a", false)
		s.step()
	}
	ran := s.ranShare(ofClass(call.ClassNormal)) * 4000
	require.Greater(t, ran, 0.95*1000)
}

func TestCallersOfAClassShareEvenly(t *testing.T) {
	s := newSimulation(10)
	for i := range 3000 {
		s.offer(call.ClassNormal, "loud", false)
		s.offer(call.ClassNormal, "loud", false)
		if i%5 == 0 {
			s.offer(call.ClassNormal, "quiet", false)
		}
		s.step()
	}
	quiet := s.ranShare(func(i admit.Item) bool { return i.Caller == "quiet" })
	require.Greater(t, quiet, 0.9)
}

// Many streams must not delay short calls, although they may use more than their share of the slots.
func TestStreamsLeaveSlotsForShortCalls(t *testing.T) {
	s := newSimulation(20)
	for i := range 2000 {
		if i%2 == 0 {
			s.offer(call.ClassHigh, "short", false)
		}
		s.offer(call.ClassNormal, "long", true)
		s.step()
	}
	load := s.gate.Load()
	require.GreaterOrEqual(t, load.Streams, 5)
	require.Less(t, load.Streams, 10)
	require.Greater(t, s.ranShare(ofClass(call.ClassHigh)), 0.99)
}

func TestStreamsUseIdleSlots(t *testing.T) {
	s := newSimulation(20)
	for range 60 {
		s.offer(call.ClassNormal, "long", true)
		s.now = s.now.Add(time.Second)
	}
	require.Equal(t, 19, s.gate.Load().Streams)
}

func TestCallsThatCannotMeetTheirDeadlineAreRefused(t *testing.T) {
	s := newSimulation(10)
	s.service = 400 * time.Millisecond
	for range 40 {
		s.offer(call.ClassNormal, "a", false)
		for range 100 {
			s.step()
		}
	}
	late := admit.Item{Op: "late", Kind: "normal", Rank: call.ClassNormal.MinRank(), Deadline: s.now.Add(50 * time.Millisecond)}
	refused := s.gate.Offer(s.now, late)
	require.Equal(t, call.ReasonHopeless, refused[0].Reason)
	require.InDelta(t, time.Second, refused[0].RetryAfter, float64(501*time.Millisecond))
	s.now = s.now.Add(time.Minute)
	late.Deadline = s.now.Add(50 * time.Millisecond)
	require.Equal(t, admit.Run, s.gate.Offer(s.now, late)[0].Verdict, "a stale estimate refuses no call")
}

func TestBufferTotalIsEnforced(t *testing.T) {
	s := newSimulation(100)
	big := func(op call.ID, class call.Class) admit.Decision {
		return s.gate.Offer(s.now, admit.Item{
			Op: op, Rank: class.MinRank(), Deadline: s.now.Add(time.Second), Bytes: 256 << 10,
		})[0]
	}
	for _, op := range []call.ID{"1", "2", "3"} {
		require.Equal(t, admit.Run, big(op, call.ClassNormal).Verdict)
	}
	require.Equal(t, call.ReasonBufferFull, big("4", call.ClassNormal).Reason)
	require.Equal(t, admit.Run, big("5", call.ClassVital).Verdict)
	require.Equal(t, call.ReasonBufferFull, big("6", call.ClassVital).Reason)
}

func TestEveryItemEndsOnceAndCountersMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		g := admit.New(settings(), limit, rand.New(rand.NewPCG(1, 2)))
		now := start
		finalVerdicts := map[call.ID]admit.Verdict{}
		undecided := map[call.ID]time.Time{}
		var runs []call.ID
		record := func(decisions []admit.Decision) {
			for _, d := range decisions {
				require.NotContains(t, finalVerdicts, d.Op, "second final decision on an item")
				if d.Verdict == admit.Wait {
					continue
				}
				finalVerdicts[d.Op] = d.Verdict
				if d.Verdict == admit.Run {
					require.True(t, undecided[d.Op].After(now), "item started after its deadline")
					runs = append(runs, d.Op)
				}
				delete(undecided, d.Op)
			}
		}
		for n := range rapid.IntRange(1, 150).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				item := admit.Item{
					Op: call.ID(fmt.Sprint(n)), Rank: call.Rank(rapid.IntRange(0, int(call.MaxRank)-1).Draw(t, "rank")),
					Caller: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), Kind: "k",
					Deadline: now.Add(time.Duration(rapid.IntRange(-10, 300).Draw(t, "left")) * time.Millisecond),
					Stream:   rapid.Bool().Draw(t, "stream"), Bytes: int64(rapid.IntRange(0, 300<<10).Draw(t, "bytes")),
				}
				undecided[item.Op] = item.Deadline
				record(g.Offer(now, item))
			case 2:
				if len(runs) > 0 {
					op := runs[0]
					runs = runs[1:]
					record(g.Release(now, op, admit.ResultOK))
				}
			case 3:
				record(g.Tick(now))
			}
			load := g.Load()
			require.LessOrEqual(t, load.Running, limit)
			require.Len(t, runs, load.Running)
			require.Len(t, undecided, load.Queued)
			require.LessOrEqual(t, load.Queued, settings().QueueLength)
			require.LessOrEqual(t, load.Bytes, settings().BufferTotal)
			require.LessOrEqual(t, load.Threshold, call.ClassVital.MinRank())
		}
		for _, op := range runs {
			record(g.Release(now, op, admit.ResultOK))
		}
		record(g.Tick(now.Add(time.Hour)))
		require.Empty(t, undecided, "item without a final decision")
	})
}

func BenchmarkOfferRelease(b *testing.B) {
	g := admit.New(settings(), 100, rand.New(rand.NewPCG(1, 2)))
	item := admit.Item{Op: "op", Rank: 700, Kind: "kind", Caller: "caller", Deadline: start.Add(24 * time.Hour)}
	now := start
	b.ReportAllocs()
	for range b.N {
		now = now.Add(100 * time.Microsecond)
		item.Deadline = now.Add(time.Second)
		g.Offer(now, item)
		g.Release(now, item.Op, admit.ResultOK)
	}
}
