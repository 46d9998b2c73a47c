package shed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

func TestAfter(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		back  shed.RetryAfter
		after time.Duration
	}{
		"within the aim":              {shed.RetryAfter{Remaining: 5000 * ms, LatencyGoal: 1200 * ms, UsualLatency: 400 * ms, Random: 0.5}, 400 * ms},
		"the aim is out of reach":     {shed.RetryAfter{Remaining: 3000 * ms, LatencyGoal: 300 * ms, UsualLatency: 400 * ms, Random: 0.5}, 500 * ms},
		"little time left":            {shed.RetryAfter{Remaining: 300 * ms, LatencyGoal: 1200 * ms, Random: 0.5}, 50 * ms},
		"no route, so no aim":         {shed.RetryAfter{Remaining: 3000 * ms, Random: 0.9}, 700 * ms},
		"a client that waits no more": {shed.RetryAfter{Remaining: -ms, LatencyGoal: 1200 * ms, Random: 0.9}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.after, test.back.Delay())
		})
	}
}

// No client is told to come back later than a third of its time, nor too late for the aim where that can still be met.
func TestAfterKeepsItsBounds(t *testing.T) {
	duration := func(t *rapid.T, name string, most time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
	}
	rapid.Check(t, func(t *rapid.T) {
		back := shed.RetryAfter{
			Remaining: duration(t, "left", time.Minute), Elapsed: duration(t, "elapsed", time.Second),
			LatencyGoal: duration(t, "aim", 2*time.Second), UsualLatency: duration(t, "usual", 2*time.Second),
			Random: rapid.Float64Range(0, 0.999).Draw(t, "draw"),
		}
		after := back.Delay()
		require.GreaterOrEqual(t, after, time.Duration(0))
		require.LessOrEqual(t, after, back.Remaining/3+1)
		spare := back.LatencyGoal - back.UsualLatency - back.Elapsed
		if spare > 0 {
			require.Less(t, after, max(spare, 1))
		}
	})
}

// The load is many clients that are refused at the same moment; they must not come back at the same moment.
func TestRefusedClientsComeBackSpread(t *testing.T) {
	const clients = 1000
	perTenth := map[time.Duration]int{}
	for i := range clients {
		back := shed.RetryAfter{Remaining: 5 * time.Second, LatencyGoal: 1200 * time.Millisecond, UsualLatency: 400 * time.Millisecond, Random: float64(i) / clients}
		perTenth[back.Delay()/(100*time.Millisecond)]++
	}
	for tenth, count := range perTenth {
		require.LessOrEqual(t, count, clients*3/10, "of all return in tenth of a second %d", tenth)
	}
}
