package fanout_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/fanout"
)

// addWindow counts the executions of two routes in one window and the calls that executions of index make. The number of calls varies
// at random, as if some fell into a neighbouring window.
func addWindow(e *fanout.Estimator, rng *rand.Rand, index, archive int, calls float64) {
	for range index {
		e.CountExecution("index")
	}
	for range archive {
		e.CountExecution("archive")
	}
	for range int(calls*float64(index)) + rng.IntN(21) - 10 {
		e.CountCall("calibrate")
	}
}

// addWindows counts windows in which nothing fails.
func addWindows(e *fanout.Estimator, rng *rand.Rand, windows int, calls float64) {
	for range windows {
		addWindow(e, rng, 40+rng.IntN(20), 2+rng.IntN(6), calls)
		e.CloseWindow()
	}
}

func TestEstimatorSeparatesRoutesWithDifferentRates(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	e := fanout.NewEstimator()
	addWindows(e, rng, 40, 4)
	require.InDelta(t, 4.0, e.Calls("index", "calibrate"), 0.4)
	require.Contains(t, e.Callees("index"), "calibrate")
	require.Empty(t, e.Callees("archive"), "a route without calls must not get the callees of others")
	require.True(t, e.Ready("archive"))
	require.False(t, e.Ready("other"))
}

func TestEstimatorFollowsChangedFanOut(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	e := fanout.NewEstimator()
	for _, calls := range []float64{4, 1} {
		addWindows(e, rng, 240, calls)
		require.InDelta(t, calls, e.Calls("index", "calibrate"), 0.3)
	}
}

// In an overload most executions fail at their first call and make one of four. Their call trees must not look light, or still more of
// them would be admitted.
func TestEstimatorKeepsTheCallsOfWholeExecutionsWhileTheyFail(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	e := fanout.NewEstimator()
	addWindows(e, rng, 120, 4)
	for range 240 {
		executions := 40 + rng.IntN(20)
		addWindow(e, rng, executions, 2+rng.IntN(6), 1.3)
		for range executions * 8 / 10 {
			e.CountFailure("calibrate")
		}
		e.CloseWindow()
		require.InDelta(t, 4.0, e.Callees("index")["calibrate"], 0.5)
	}
	addWindows(e, rng, 240, 2)
	require.InDelta(t, 2.0, e.Calls("index", "calibrate"), 0.3, "whole executions are learned from again")
}

// A restarted node sees few executions at first. What they call is not known yet, rather than nothing.
func TestEstimatorIsNotReadyAfterFewExecutions(t *testing.T) {
	e := fanout.NewEstimator()
	for range 15 {
		e.CountExecution("index")
		e.CloseWindow()
	}
	require.False(t, e.Ready("index"))
	for range 10 {
		e.CountExecution("index")
		e.CloseWindow()
	}
	require.True(t, e.Ready("index"))
}

// A few calls fail on every day.
func TestEstimatorFollowsChangedFanOutWhileFewCallsFail(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	e := fanout.NewEstimator()
	for _, calls := range []float64{4, 1} {
		for range 240 {
			addWindow(e, rng, 40+rng.IntN(20), 2+rng.IntN(6), calls)
			if rng.IntN(3) == 0 {
				e.CountFailure("calibrate")
			}
			e.CloseWindow()
		}
		require.InDelta(t, calls, e.Calls("index", "calibrate"), 0.3)
	}
}

// Executions that fail may make more calls than whole ones before, after operators have changed what they call.
func TestEstimatorLearnsMoreCallsWhileExecutionsFail(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	e := fanout.NewEstimator()
	for _, calls := range []float64{1, 4} {
		for range 120 {
			addWindow(e, rng, 40+rng.IntN(20), 2+rng.IntN(6), calls)
			if calls > 1 {
				for range 20 {
					e.CountFailure("calibrate")
				}
			}
			e.CloseWindow()
		}
	}
	require.InDelta(t, 4.0, e.Calls("index", "calibrate"), 0.8)
}

func TestEstimatorResetsWhenOperatorsReplaceManyRoutes(t *testing.T) {
	e := fanout.NewEstimator()
	for i := range 100 {
		e.CountExecution(string(rune('a' + i)))
		e.CountCall("calibrate")
		e.CloseWindow()
	}
	require.LessOrEqual(t, len(e.Callees("a")), 1)
}

func TestCallTreesSumNeedsOfCallees(t *testing.T) {
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
