package tune_test

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/tune"
)

const (
	liveBytes = 8 << 20
	callBytes = 6 << 10
	calls     = 12_000
)

// collections returns how often garbage is collected while calls are made, beside what connections keep.
func collections() uint32 {
	live := make([][]byte, 0, liveBytes/callBytes)
	for range cap(live) {
		live = append(live, make([]byte, callBytes))
	}
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range calls {
		live[i%len(live)] = make([]byte, callBytes)
	}
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(live)

	return after.NumGC - before.NumGC
}

func TestCollectionsDoNotTakeTheTimeOfCalls(t *testing.T) {
	t.Setenv("GOGC", "")
	t.Setenv("GOMEMLIMIT", "")
	tune.Apply(tune.Sidecar(184 << 20))
	require.LessOrEqual(t, collections(), uint32(calls*callBytes/liveBytes+3))
}

func TestMemoryLimitCausesEarlierCollections(t *testing.T) {
	t.Setenv("GOGC", "")
	t.Setenv("GOMEMLIMIT", "")
	tune.Apply(tune.Limits{Processors: 1, GCPercent: 1000})
	few := collections()
	tune.Apply(tune.Limits{Processors: 1, GCPercent: 1000, MemoryBytes: 24 << 20})
	require.Greater(t, collections(), few)
}
