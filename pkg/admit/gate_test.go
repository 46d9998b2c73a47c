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

// bench drives a gate in steps of a millisecond and keeps the books.
type bench struct {
	gate    *admit.Gate
	now     time.Time
	service time.Duration
	items   map[call.ID]admit.Item
	ends    map[call.ID]time.Time
	verdict map[call.ID]admit.Decision
	next    int
}

func newBench(limit int) *bench {
	return &bench{
		gate: admit.New(settings(), limit, rand.New(rand.NewPCG(1, 2))), now: start, service: 20 * time.Millisecond,
		items: map[call.ID]admit.Item{}, ends: map[call.ID]time.Time{}, verdict: map[call.ID]admit.Decision{},
	}
}

func (b *bench) note(decisions []admit.Decision) {
	for _, d := range decisions {
		b.verdict[d.Op] = d
		if d.Verdict == admit.Run {
			b.ends[d.Op] = b.now.Add(b.service)
			if b.items[d.Op].Stream {
				b.ends[d.Op] = b.now.Add(time.Minute)
			}
		}
	}
}

func (b *bench) offer(class call.Class, caller string, stream bool) call.ID {
	b.next++
	op := call.ID(fmt.Sprint(b.next))
	item := admit.Item{
		Op: op, Rank: call.NewRank(class, call.Root(op)), Kind: class.String(), Caller: caller,
		Deadline: b.now.Add(500 * time.Millisecond), Stream: stream,
	}
	b.items[op] = item
	b.note(b.gate.Offer(b.now, item))

	return op
}

func (b *bench) step() {
	b.now = b.now.Add(time.Millisecond)
	for op, end := range b.ends {
		if !end.After(b.now) {
			delete(b.ends, op)
			b.note(b.gate.Release(b.now, op, admit.ResultOK))
		}
	}
	b.note(b.gate.Tick(b.now))
}

// share returns the part of the items for which keep is true that ran.
func (b *bench) share(keep func(admit.Item) bool) float64 {
	ran, all := 0, 0
	for op, item := range b.items {
		if !keep(item) {
			continue
		}
		all++
		if b.verdict[op].Verdict == admit.Run {
			ran++
		}
	}

	return float64(ran) / float64(all)
}

func ofClass(class call.Class) func(admit.Item) bool {
	return func(i admit.Item) bool { return i.Rank.Class() == class }
}

// Ten slots of 20 ms carry one call in 2 ms: three a step are sixfold overload.
func TestImportantWorkIsRefusedLast(t *testing.T) {
	b := newBench(10)
	for i := range 3000 {
		b.offer(call.ClassBulk, "a", false)
		b.offer(call.ClassNormal, "a", false)
		if i%10 == 0 {
			b.offer(call.ClassVital, "a", false)
		}
		b.step()
	}
	require.Equal(t, 1.0, b.share(ofClass(call.ClassVital)))
	require.Greater(t, b.share(ofClass(call.ClassNormal)), 0.35)
	require.Less(t, b.share(ofClass(call.ClassBulk)), 0.02)
	threshold := b.gate.Load().Threshold
	require.Greater(t, threshold, call.ClassNormal.MinRank())
	require.LessOrEqual(t, threshold, call.ClassVital.MinRank())

	for range 1000 {
		b.step()
	}
	require.Zero(t, b.gate.Load().Threshold, "opens again once the overload is over")
}

func TestFullSpeedUnderOverload(t *testing.T) {
	b := newBench(10)
	for range 2000 {
		b.offer(call.ClassNormal, "a", false)
		b.offer(call.ClassNormal, "a", false)
		b.step()
	}
	ran := b.share(ofClass(call.ClassNormal)) * 4000
	require.Greater(t, ran, 0.95*1000)
}

func TestCallersOfAClassShareEvenly(t *testing.T) {
	b := newBench(10)
	for i := range 3000 {
		b.offer(call.ClassNormal, "loud", false)
		b.offer(call.ClassNormal, "loud", false)
		if i%5 == 0 {
			b.offer(call.ClassNormal, "quiet", false)
		}
		b.step()
	}
	quiet := b.share(func(i admit.Item) bool { return i.Caller == "quiet" })
	require.Greater(t, quiet, 0.9)
}

func TestStreamsLeaveTheSlotsOfShortCalls(t *testing.T) {
	b := newBench(20)
	for i := range 2000 {
		if i%2 == 0 {
			b.offer(call.ClassHigh, "short", false)
		}
		b.offer(call.ClassNormal, "long", true)
		b.step()
	}
	load := b.gate.Load()
	require.GreaterOrEqual(t, load.Streams, 5)
	require.Less(t, load.Streams, 10)
	require.Greater(t, b.share(ofClass(call.ClassHigh)), 0.99)
}

func TestStreamsUseSlotsThatNobodyElseNeeds(t *testing.T) {
	b := newBench(20)
	for range 60 {
		b.offer(call.ClassNormal, "long", true)
		b.now = b.now.Add(time.Second)
	}
	require.Equal(t, 19, b.gate.Load().Streams)
}

func TestHopelessWorkIsRefusedAtOnceAndTriedAgain(t *testing.T) {
	b := newBench(10)
	b.service = 400 * time.Millisecond
	for range 40 {
		b.offer(call.ClassNormal, "a", false)
		for range 100 {
			b.step()
		}
	}
	late := admit.Item{Op: "late", Kind: "normal", Rank: call.ClassNormal.MinRank(), Deadline: b.now.Add(50 * time.Millisecond)}
	refused := b.gate.Offer(b.now, late)
	require.Equal(t, call.ReasonHopeless, refused[0].Reason)
	require.InDelta(t, time.Second, refused[0].RetryAfter, float64(501*time.Millisecond))
	b.now = b.now.Add(time.Minute)
	late.Deadline = b.now.Add(50 * time.Millisecond)
	require.Equal(t, admit.Run, b.gate.Offer(b.now, late)[0].Verdict, "an old estimate stops nobody")
}

func TestBuffersAreALimit(t *testing.T) {
	b := newBench(100)
	big := func(op call.ID, class call.Class) admit.Decision {
		return b.gate.Offer(b.now, admit.Item{
			Op: op, Rank: class.MinRank(), Deadline: b.now.Add(time.Second), Bytes: 256 << 10,
		})[0]
	}
	for _, op := range []call.ID{"1", "2", "3"} {
		require.Equal(t, admit.Run, big(op, call.ClassNormal).Verdict)
	}
	require.Equal(t, call.ReasonBufferFull, big("4", call.ClassNormal).Reason)
	require.Equal(t, admit.Run, big("5", call.ClassVital).Verdict)
	require.Equal(t, call.ReasonBufferFull, big("6", call.ClassVital).Reason)
}

func TestEveryItemEndsOnceAndTheBooksAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		g := admit.New(settings(), limit, rand.New(rand.NewPCG(1, 2)))
		now := start
		final := map[call.ID]admit.Verdict{}
		open := map[call.ID]time.Time{}
		var runs []call.ID
		note := func(decisions []admit.Decision) {
			for _, d := range decisions {
				require.NotContains(t, final, d.Op, "a second final decision")
				if d.Verdict == admit.Wait {
					continue
				}
				final[d.Op] = d.Verdict
				if d.Verdict == admit.Run {
					require.True(t, open[d.Op].After(now), "started too late")
					runs = append(runs, d.Op)
				}
				delete(open, d.Op)
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
				open[item.Op] = item.Deadline
				note(g.Offer(now, item))
			case 2:
				if len(runs) > 0 {
					op := runs[0]
					runs = runs[1:]
					note(g.Release(now, op, admit.ResultOK))
				}
			case 3:
				note(g.Tick(now))
			}
			load := g.Load()
			require.LessOrEqual(t, load.Running, limit)
			require.Len(t, runs, load.Running)
			require.Len(t, open, load.Queued)
			require.LessOrEqual(t, load.Queued, settings().QueueLength)
			require.LessOrEqual(t, load.Bytes, settings().BufferTotal)
			require.LessOrEqual(t, load.Threshold, call.ClassVital.MinRank())
		}
		for _, op := range runs {
			note(g.Release(now, op, admit.ResultOK))
		}
		note(g.Tick(now.Add(time.Hour)))
		require.Empty(t, open, "an item without an end")
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
