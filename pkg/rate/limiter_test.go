package rate_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/rate"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Over any 4 s the calls stay below 1.5 times the limit and 5, also while the limit changes and after pauses.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	t.Parallel()
	const (
		step   = 10 * time.Millisecond
		window = int(4 * time.Second / step)
	)
	rapid.Check(t, func(t *rapid.T) {
		limiter := rate.NewLimiter()
		now := time.Now()
		var started, allowed []float64
		for range rapid.IntRange(2, 8).Draw(t, "phases") {
			limit := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 3, 15, 100}).Draw(t, "limit")
			limiter.SetLimit(now, rate.PerSecond(limit))
			attempts := rapid.SampledFrom([]int{0, 1, 20}).Draw(t, "attempts")
			for range rapid.IntRange(1, 600).Draw(t, "steps") {
				now = now.Add(step)
				calls := 0.0
				for range attempts {
					if limiter.Take(now) {
						calls++
					}
				}
				started, allowed = append(started, calls), append(allowed, limit*step.Seconds())
			}
		}
		for end := range started {
			calls, sum := 0.0, 0.0
			for i := max(end+1-window, 0); i <= end; i++ {
				calls, sum = calls+started[i], sum+allowed[i]
			}
			require.LessOrEqual(t, calls, 1.5*sum+5)
		}
	})
}

func TestTimesOutOfOrderAllowNoMoreCalls(t *testing.T) {
	t.Parallel()
	limiter := rate.NewLimiter()
	start := time.Now()
	limiter.SetLimit(start, rate.PerSecond(10))
	calls := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, at := range []time.Time{now, now.Add(-200 * time.Millisecond), now} {
			if limiter.Take(at) {
				calls++
			}
		}
	}
	require.InDelta(t, 100, calls, 2)
}

func TestAllOfTheLimitIsUsable(t *testing.T) {
	t.Parallel()
	for _, limit := range []float64{0.5, 1, 15, 300} {
		limiter := rate.NewLimiter()
		now := time.Now()
		limiter.SetLimit(now, rate.PerSecond(limit))
		calls := 0.0
		for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(limiter.Wait(now)) {
			if limiter.Take(now) {
				calls++
			}
		}
		require.InDelta(t, 20*limit, calls, 1.5, "limit %v", limit)
	}
}

func TestUtilisationIsThatOfTheCallsThatWantToStart(t *testing.T) {
	t.Parallel()
	limiter := rate.NewLimiter()
	now := time.Now()
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		limiter.Want(now)
	}
	require.Zero(t, limiter.Utilisation(now))
	limiter.SetLimit(now, rate.PerSecond(20))
	require.InDelta(t, 1, limiter.Utilisation(now), 0.01)
	for range 500 {
		now = now.Add(25 * time.Millisecond)
		limiter.Want(now)
	}
	require.InDelta(t, 2, limiter.Utilisation(now), 0.1)
	limiter.SetLimit(now, rate.Limit{})
	require.Zero(t, limiter.Utilisation(now))
}
