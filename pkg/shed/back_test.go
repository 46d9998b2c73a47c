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
		back  shed.Return
		after time.Duration
	}{
		"within the aim":              {shed.Return{Left: 5000 * ms, Aim: 1200 * ms, Usual: 400 * ms, Draw: 0.5}, 400 * ms},
		"the aim is out of reach":     {shed.Return{Left: 3000 * ms, Aim: 300 * ms, Usual: 400 * ms, Draw: 0.5}, 500 * ms},
		"little time left":            {shed.Return{Left: 300 * ms, Aim: 1200 * ms, Draw: 0.5}, 50 * ms},
		"no route, so no aim":         {shed.Return{Left: 3000 * ms, Draw: 0.9}, 700 * ms},
		"a client that waits no more": {shed.Return{Left: -ms, Aim: 1200 * ms, Draw: 0.9}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.after, test.back.After())
		})
	}
}

// No client is told to come back later than a third of its time, nor too late for the aim where that can still be met.
func TestAfterKeepsItsBounds(t *testing.T) {
	duration := func(t *rapid.T, name string, most time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
	}
	rapid.Check(t, func(t *rapid.T) {
		back := shed.Return{
			Left: duration(t, "left", time.Minute), Elapsed: duration(t, "elapsed", time.Second),
			Aim: duration(t, "aim", 2*time.Second), Usual: duration(t, "usual", 2*time.Second),
			Draw: rapid.Float64Range(0, 0.999).Draw(t, "draw"),
		}
		after := back.After()
		require.GreaterOrEqual(t, after, time.Duration(0))
		require.LessOrEqual(t, after, back.Left/3+1)
		spare := back.Aim - back.Usual - back.Elapsed
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
		back := shed.Return{Left: 5 * time.Second, Aim: 1200 * time.Millisecond, Usual: 400 * time.Millisecond, Draw: float64(i) / clients}
		perTenth[back.After()/(100*time.Millisecond)]++
	}
	for tenth, count := range perTenth {
		require.LessOrEqual(t, count, clients*3/10, "of all return in tenth of a second %d", tenth)
	}
}
