package shed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

func TestRetryDelay(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		refused shed.RetryAfter
		delay   time.Duration
	}{
		"within the target":      {shed.RetryAfter{Remaining: 5000 * ms, LatencyTarget: 1200 * ms, UsualLatency: 400 * ms, Random: 0.5}, 400 * ms},
		"target out of reach":    {shed.RetryAfter{Remaining: 3000 * ms, LatencyTarget: 300 * ms, UsualLatency: 400 * ms, Random: 0.5}, 500 * ms},
		"little time left":       {shed.RetryAfter{Remaining: 300 * ms, LatencyTarget: 1200 * ms, Random: 0.5}, 50 * ms},
		"no route, so no target": {shed.RetryAfter{Remaining: 3000 * ms, Random: 0.9}, 700 * ms},
		"client has given up":    {shed.RetryAfter{Remaining: -ms, LatencyTarget: 1200 * ms, Random: 0.9}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.delay, test.refused.Delay())
		})
	}
}

// The delay never exceeds a third of the client's remaining time, nor the retry window where the latency target can still be met.
func TestRetryDelayKeepsBounds(t *testing.T) {
	duration := func(t *rapid.T, name string, maximum time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(maximum)).Draw(t, name))
	}
	rapid.Check(t, func(t *rapid.T) {
		refused := shed.RetryAfter{
			Remaining: duration(t, "left", time.Minute), Elapsed: duration(t, "elapsed", time.Second),
			LatencyTarget: duration(t, "latency target", 2*time.Second), UsualLatency: duration(t, "usual", 2*time.Second),
			Random: rapid.Float64Range(0, 0.999).Draw(t, "draw"),
		}
		delay := refused.Delay()
		require.GreaterOrEqual(t, delay, time.Duration(0))
		require.LessOrEqual(t, delay, refused.Remaining/3+1)
		window := refused.LatencyTarget - refused.UsualLatency - refused.Elapsed
		if window > 0 {
			require.Less(t, delay, max(window, 1))
		}
	})
}

// Many clients that are refused at the same time must not retry at the same time.
func TestRetriesOfRefusedClientsAreSpread(t *testing.T) {
	const clients = 1000
	perTenth := map[time.Duration]int{}
	for i := range clients {
		refused := shed.RetryAfter{
			Remaining: 5 * time.Second, LatencyTarget: 1200 * time.Millisecond,
			UsualLatency: 400 * time.Millisecond, Random: float64(i) / clients,
		}
		perTenth[refused.Delay()/(100*time.Millisecond)]++
	}
	for tenth, count := range perTenth {
		require.LessOrEqual(t, count, clients*3/10, "too many retries in tenth of a second %d", tenth)
	}
}
