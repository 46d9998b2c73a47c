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

// backend simulates a backend server whose latency depends on the concurrency, and which sheds load above shedAt, if not zero.
type backend struct {
	latency func(inflight int) time.Duration
	shedAt  int
}

// drive keeps the node saturated for the duration, and returns the time at its end and the throughput per second.
func drive(l *limit.Limiter, now time.Time, duration time.Duration, b backend) (time.Time, float64) {
	end := now.Add(duration)
	ok := 0
	for now.Before(end) {
		n := l.Limit()
		latency := b.latency(n)
		now = now.Add(latency / time.Duration(n))
		sample := limit.Sample{Latency: latency, Inflight: n}
		if b.shedAt > 0 && n > b.shedAt {
			sample.Result = limit.ResultShed
			sample.Latency = time.Millisecond
		} else {
			ok++
		}
		l.Observe(now, sample)
	}

	return now, float64(ok) / duration.Seconds()
}

func constantLatency(latency time.Duration) backend {
	return backend{latency: func(int) time.Duration { return latency }}
}

func TestGrowsToMaxAfterColdStart(t *testing.T) {
	l := limit.New(limit.Bounds{Min: 2, Max: 130}, start)
	drive(l, start, 2*time.Second, constantLatency(20*time.Millisecond))
	require.Equal(t, 130, l.Limit())
}

// A latency of five times the baseline at every concurrency must not lower the limit, because the throughput would drop with it.
func TestSlowDependencyDoesNotShrinkTheLimit(t *testing.T) {
	l := limit.New(limit.Bounds{Min: 2, Max: 50}, start)
	now, _ := drive(l, start, 3*time.Second, constantLatency(20*time.Millisecond))
	_, rate := drive(l, now, 20*time.Second, constantLatency(100*time.Millisecond))
	require.GreaterOrEqual(t, l.Limit(), 42)
	require.Greater(t, rate, 0.95*50/0.1)
}

// Above 20 concurrent calls the latency grows with the concurrency while the throughput stays at 1000 per second.
func TestContentionShrinksTheLimit(t *testing.T) {
	l := limit.New(limit.Bounds{Min: 2, Max: 100}, start)
	contended := backend{latency: func(n int) time.Duration {
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

// Phases of slow kinds must not look like contention, because every kind has its own baseline.
func TestChangeInKindMixDoesNotShrinkTheLimit(t *testing.T) {
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
	shedding := constantLatency(20 * time.Millisecond)
	shedding.shedAt = 30
	now, _ := drive(l, start, 5*time.Second, shedding)
	require.InDelta(t, 30, l.Limit(), 8)
	drive(l, now, 8*time.Second, constantLatency(20*time.Millisecond))
	require.Equal(t, 100, l.Limit())
}

func TestReportAloneNeverLowersTheLimit(t *testing.T) {
	l := limit.New(limit.Bounds{Min: 2, Max: 50}, start)
	now := start
	for range 40 {
		l.ReportLoad(now, 5)
		now, _ = drive(l, now, 100*time.Millisecond, constantLatency(20*time.Millisecond))
	}
	require.Equal(t, 50, l.Limit())
}

func TestStaysWithinBoundsAndRecovers(t *testing.T) {
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
				Result:   limit.Result(rapid.IntRange(0, 3).Draw(t, "result")),
			})
			require.GreaterOrEqual(t, l.Limit(), bounds.Min)
			require.LessOrEqual(t, l.Limit(), bounds.Max)
		}
		drive(l, now, 20*time.Second, constantLatency(20*time.Millisecond))
		require.GreaterOrEqual(t, l.Limit(), bounds.Max*8/10, "the limit did not recover after the disturbance")
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
