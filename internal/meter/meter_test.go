package meter_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/pistachiotack/pistachiotack/internal/meter"
)

func TestWriteText(t *testing.T) {
	m := meter.New(map[string]string{"node": `a "b"`})
	scope := m.Scope().SubScope("entry")
	scope.Counter("answered").Inc(3)
	scope.Tagged(map[string]string{"reason": "overload"}).Counter("refused").Inc(2)
	scope.Timer("wait").Record(1500 * time.Millisecond)
	histogram := scope.Histogram("took", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 10, 3))
	histogram.RecordDuration(500 * time.Microsecond)
	histogram.RecordDuration(5 * time.Millisecond)
	histogram.RecordDuration(5 * time.Second)
	m.RegisterGauge("dropped", func() float64 { return 7 })
	require.NoError(t, m.Stop(t.Context()))

	var text strings.Builder
	require.NoError(t, m.WriteText(&text))
	for _, line := range []string{
		"# TYPE pistachiotack_entry_answered counter",
		`pistachiotack_entry_answered{node="a \"b\""} 3`,
		`pistachiotack_entry_refused{node="a \"b\"",reason="overload"} 2`,
		`pistachiotack_entry_wait_sum{node="a \"b\""} 1.5`,
		"# TYPE pistachiotack_entry_took histogram",
		`pistachiotack_entry_took_bucket{le="0.001",node="a \"b\""} 1`,
		`pistachiotack_entry_took_bucket{le="0.01",node="a \"b\""} 2`,
		`pistachiotack_entry_took_bucket{le="+Inf",node="a \"b\""} 3`,
		`pistachiotack_entry_took_count{node="a \"b\""} 3`,
		"pistachiotack_dropped 7",
	} {
		require.Contains(t, text.String(), line+"\n")
	}
}

func TestVecKeepsAMetricForEachTagValueUpToABound(t *testing.T) {
	m := meter.New(nil)
	counters := meter.NewCounters(m.Scope(), "refused", "reason")
	latencies := meter.NewLatencies(m.Scope(), "answered", "route")
	for range 3 {
		counters.WithTag("overload").Inc(1)
		latencies.WithTag("read").RecordDuration(3 * time.Millisecond)
	}
	for i := range 1000 {
		counters.WithTag(strconv.Itoa(i)).Inc(1)
	}
	require.NoError(t, m.Stop(t.Context()))

	var text strings.Builder
	require.NoError(t, m.WriteText(&text))
	for _, line := range []string{
		`pistachiotack_refused{reason="overload"} 3`,
		`pistachiotack_refused{reason="254"} 1`,
		`pistachiotack_refused{reason="other"} 745`,
		`pistachiotack_answered_bucket{le="0.004",route="read"} 3`,
		`pistachiotack_answered_count{route="read"} 3`,
	} {
		require.True(t, strings.Contains(text.String(), line+"\n"), line)
	}
	for _, part := range []string{`reason="255"`, `le="0.002"`} {
		require.False(t, strings.Contains(text.String(), part), part)
	}
}
