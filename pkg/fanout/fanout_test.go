package fanout_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/fanout"
)

// window plays one window: executions by route, and the calls that they make with some of them falling into the next window.
func window(l *fanout.Estimator, rng *rand.Rand, index, archive int, calls float64) {
	for range index {
		l.CountExecution("index")
	}
	for range archive {
		l.CountExecution("archive")
	}
	for range int(calls*float64(index)) + rng.IntN(21) - 10 {
		l.CountCall("calibrate")
	}
}

func TestLearnerTellsRoutesApartThatRunAtDifferentRates(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	l := fanout.NewEstimator()
	for range 40 {
		window(l, rng, 40+rng.IntN(20), 2+rng.IntN(6), 4)
		l.CloseWindow()
	}
	require.InDelta(t, 4.0, l.Calls("index", "calibrate"), 0.4)
	require.Contains(t, l.Callees("index"), "calibrate")
	require.Empty(t, l.Callees("archive"), "a route that calls nothing must not be refused for what others call")
	require.True(t, l.Ready("archive"))
	require.False(t, l.Ready("other"))
}

func TestLearnerFollowsAChangedFanOut(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	l := fanout.NewEstimator()
	for _, calls := range []float64{4, 1} {
		for range 240 {
			window(l, rng, 40+rng.IntN(20), 2+rng.IntN(6), calls)
			l.CloseWindow()
		}
		require.InDelta(t, calls, l.Calls("index", "calibrate"), 0.3)
	}
}

func TestLearnerForgetsWhenOperatorsReplaceManyRoutes(t *testing.T) {
	l := fanout.NewEstimator()
	for i := range 100 {
		l.CountExecution(string(rune('a' + i)))
		l.CountCall("calibrate")
		l.CloseWindow()
	}
	require.LessOrEqual(t, len(l.Callees("a")), 1)
}

func TestTreesAddUpWhatCalleesNeed(t *testing.T) {
	trees := fanout.NewCallTrees()
	require.False(t, trees.Has("index@archief"))
	trees.Set("index@archief", []fanout.Need{{Service: "alarm", Calls: 4}})
	needs := trees.Sum([]fanout.Callee{{Route: "index@archief", Service: "archief", Calls: 2}})
	require.Equal(t, []fanout.Need{{Service: "alarm", Calls: 8}, {Service: "archief", Calls: 2}}, needs)
}

func TestOrigin(t *testing.T) {
	for name, test := range map[string]struct {
		callers  map[string]int
		services int
		origin   fanout.Origin
	}{
		"too few":              {map[string]int{"a": 10, "b": 10}, 4, fanout.OriginUnknown},
		"from all services":    {map[string]int{"a": 30, "b": 20, "c": 25, "d": 15}, 4, fanout.OriginClients},
		"from one service":     {map[string]int{"a": 90}, 4, fanout.OriginServers},
		"nearly from one":      {map[string]int{"a": 400, "b": 2, "c": 1}, 4, fanout.OriginServers},
		"one service in fleet": {map[string]int{"a": 90}, 1, fanout.OriginUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			callers := fanout.NewCallers()
			for service, count := range test.callers {
				for range count {
					callers.Count(service)
				}
			}
			require.Equal(t, test.origin, callers.Origin(test.services))
		})
	}
}
