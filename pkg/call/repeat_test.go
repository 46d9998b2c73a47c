package call_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

func TestImmediateRetryKeepsItsRoot(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	changes, ranks := 0, map[call.Rank]bool{}
	for i := range 1000 {
		path := []byte("/cells/" + strconv.Itoa(i))
		first := call.NewRetryRoot(now, time.Second, []byte("caller"), path)
		require.NotEqual(t, first, call.NewRetryRoot(now, time.Second, []byte("other"), path))
		require.NotEqual(t, first, call.NewRetryRoot(now.Add(time.Second), time.Second, []byte("caller"), path))
		if first != call.NewRetryRoot(now.Add(100*time.Millisecond), time.Second, []byte("caller"), path) {
			changes++
		}
		ranks[call.NewRank(call.ClassNormal, first)] = true
	}
	require.InDelta(t, 100, changes, 40, "a tenth of the roots change in a tenth of the time, not all at once")
	require.Greater(t, len(ranks), 200)
}
