package limit_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/limit"
)

var start = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
	os.Exit(m.Run())
}

// server is a backend whose latency and shedding depend on the concurrency.
type server struct {
	latency func(inflight int) time.Duration
	shedAt  int
}

// drive keeps the node full for that long and returns the time after it and the good answers per second.
func drive(l *limit.Limiter, now time.Time, span time.Duration, s server) (time.Time, float64) {
	end := now.Add(span)
	ok := 0
	for now.Before(end) {
		n := l.Limit()
		latency := s.latency(n)
		now = now.Add(latency / time.Duration(n))
		sample := limit.Sample{Latency: latency, Inflight: n}
		if s.shedAt > 0 && n > s.shedAt {
			sample.Result = limit.ResultShed
			sample.Latency = time.Millisecond
		} else {
			ok++
		}
		l.Observe(now, sample)
	}

	return now, float64(ok) / span.Seconds()
}

func flat(latency time.Duration) server {
	return server{latency: func(int) time.Duration { return latency }}
}

func TestReachesSlotsAfterColdStart(t *testing.T) {
	l := limit.New(limit.Bounds{Min: 2, Max: 130}, start)
	drive(l, start, 2*time.Second, flat(20*time.Millisecond))
	require.Equal(t, 130, l.Limit())
}

func TestSlowDependencyDoesNotShrinkTheLimit(t *testing.T) {
	l := limit.New(limit.Bounds{Min: 2, Max: 50}, start)
	now, _ := drive(l, start, 3*time.Second, flat(20*time.Millisecond))
	_, rate := drive(l, now, 20*time.Second, flat(100*time.Millisecond))
	require.GreaterOrEqual(t, l.Limit(), 42)
	require.Greater(t, rate, 0.95*50/0.1)
}

func TestContentionShrinksTheLimit(t *testing.T) {
	l := limit.New(limit.Bounds{Min: 2, Max: 100}, start)
	contended := server{latency: func(n int) time.Duration {
		return time.Duration(max(20, n)) * time.Millisecond
	}}
	now := start
	for range 20 {
		l.Observe(now, limit.Sample{Latency: 20 * time.Millisecond, Inflight: 1})
		now = now.Add(20 * time.Millisecond)
	}
	_, rate := drive(l, now, 10*time.Second, contended)
	require.Less(t, l.Limit(), 80)
	require.Greater(t, rate, 900.0)
}

func TestAnotherMixOfKindsIsNoContention(t *testing.T) {
	l := limit.New(limit.Bounds{Min: 2, Max: 50}, start)
	now, lowest := start, 50
	for i := range 6000 {
		kind, latency := "light", 20*time.Millisecond
		if i/200%2 == 1 {
			kind, latency = "heavy", 200*time.Millisecond
		}
		now = now.Add(latency / time.Duration(l.Limit()))
		l.Observe(now, limit.Sample{Kind: kind, Latency: latency, Inflight: l.Limit()})
		if i > 2000 {
			lowest = min(lowest, l.Limit())
		}
	}
	require.Equal(t, 50, lowest)
}

func TestFollowsBackendShedding(t *testing.T) {
	l := limit.New(limit.Bounds{Min: 2, Max: 100}, start)
	shedding := flat(20 * time.Millisecond)
	shedding.shedAt = 30
	now, _ := drive(l, start, 5*time.Second, shedding)
	require.InDelta(t, 30, l.Limit(), 8)
	drive(l, now, 8*time.Second, flat(20*time.Millisecond))
	require.Equal(t, 100, l.Limit())
}

func TestReportAloneNeverLowersTheLimit(t *testing.T) {
	l := limit.New(limit.Bounds{Min: 2, Max: 50}, start)
	now := start
	for range 40 {
		l.ReportLoad(now, 5)
		now, _ = drive(l, now, 100*time.Millisecond, flat(20*time.Millisecond))
	}
	require.Equal(t, 50, l.Limit())
}

func TestWithinBoundsAndNeverStuck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := limit.Bounds{Min: rapid.IntRange(1, 5).Draw(t, "min"), Max: rapid.IntRange(5, 160).Draw(t, "max")}
		l := limit.New(bounds, start)
		now := start
		for range rapid.IntRange(0, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			l.ReportLoad(now, rapid.Float64Range(-1, 10).Draw(t, "report"))
			l.Observe(now, limit.Sample{
				Latency:  time.Duration(rapid.IntRange(0, 5000).Draw(t, "latency")) * time.Millisecond,
				Inflight: rapid.IntRange(0, 200).Draw(t, "inflight"),
				Result:   limit.Result(rapid.IntRange(0, 3).Draw(t, "verdict")),
			})
			require.GreaterOrEqual(t, l.Limit(), bounds.Min)
			require.LessOrEqual(t, l.Limit(), bounds.Max)
		}
		drive(l, now, 20*time.Second, flat(20*time.Millisecond))
		require.GreaterOrEqual(t, l.Limit(), bounds.Max*8/10, "stuck after the trouble has ended")
	})
}

func BenchmarkObserve(b *testing.B) {
	l := limit.New(limit.Bounds{Min: 2, Max: 130}, start)
	now := start
	for range b.N {
		now = now.Add(time.Millisecond)
		l.Observe(now, limit.Sample{Latency: 20 * time.Millisecond, Inflight: 100})
	}
}
