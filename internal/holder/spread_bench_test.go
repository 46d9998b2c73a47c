package holder_test

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/holder"
	"github.com/pistachiotack/pistachiotack/internal/plat"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

var fleetSizes = []int{25, 50, 100, 200}

// BenchmarkSpread measures how long an accepted revision takes to reach the median and the last node, with the table available
// and with the table lost right after the acceptance. Run it as: go test ./internal/holder -run '^$' -bench Spread -benchtime
// 10x
func BenchmarkSpread(b *testing.B) {
	for _, size := range fleetSizes {
		for name, mode := range map[string]plat.Mode{"tableUp": plat.ModeNone, "tableLost": plat.ModeDown} {
			b.Run(fmt.Sprintf("nodes=%d/%s", size, name), func(b *testing.B) {
				f := newDefaultFleet(b, size)
				var medianLatencies, lastLatencies []time.Duration
				for b.Loop() {
					median, last := f.timePropagation(b, mode)
					medianLatencies, lastLatencies = append(medianLatencies, median), append(lastLatencies, last)
				}
				slices.Sort(medianLatencies)
				slices.Sort(lastLatencies)
				report := func(d time.Duration, unit string) { b.ReportMetric(float64(d.Microseconds())/1000, unit) }
				report(medianLatencies[len(medianLatencies)/2], "ms/medianNode")
				report(lastLatencies[len(lastLatencies)/2], "ms/lastNode")
				report(lastLatencies[len(lastLatencies)-1], "ms/worstLastNode")
			})
		}
	}
}

// newDefaultFleet starts nodes with the default intervals.
func newDefaultFleet(b *testing.B, size int) *fleet {
	f := newFleet(b, 0)
	f.options = holder.Options{}
	for range size {
		f.addNode(allGood)
	}
	f.storeRevision(initialTree)

	return f
}

// timePropagation proposes an edit, and returns the time until it is in force on the median and on the last node, counted from
// just before the write that accepts it.
func (f *fleet) timePropagation(b *testing.B, mode plat.Mode) (median, last time.Duration) {
	coordinator := f.nodes[0]
	revision := coordinator.Record().Revision + 1
	decided := make(chan holder.Result, 1)
	edit := coordinator.edit(b, "bench", "attempts", fmt.Sprint(10+revision%50))
	go func() { decided <- coordinator.Propose(context.Background(), edit) }()
	for coordinator.Record().Revision < revision {
		require.Empty(b, decided, "decided without a new revision")
		time.Sleep(100 * time.Microsecond)
	}
	f.platform.SetFault(plat.NewFault(mode))
	startedAt := coordinator.Record().At
	latencies := make([]time.Duration, len(f.nodes))
	for remaining := len(latencies); remaining > 0; time.Sleep(200 * time.Microsecond) {
		require.Less(b, time.Since(startedAt), testTimeout, "%d nodes without the revision", remaining)
		for i, n := range f.nodes {
			if latencies[i] == 0 && n.Snapshot().Revision() >= revision {
				latencies[i] = time.Since(startedAt)
				remaining--
			}
		}
	}
	result := <-decided
	require.Equal(b, trial.StateAccepted, result.State, result.Detail)
	f.platform.SetFault(plat.NewFault(plat.ModeNone))
	require.Eventually(b, func() bool {
		_, err := f.store.Get(context.Background(), "settings/head")

		return err == nil && len(coordinator.Degraded()) == 0
	}, testTimeout, time.Millisecond)
	slices.Sort(latencies)

	return latencies[len(latencies)/2], latencies[len(latencies)-1]
}

// BenchmarkRest measures the load of idle holders: control traffic per node in bytes per second, sent and received, and CPU
// time.
func BenchmarkRest(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			f := newDefaultFleet(b, size)
			bytesBefore, cpuBefore, startedAt := f.traffic(), cpuTime(b), time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			bytes := float64(f.traffic() - bytesBefore)
			elapsed := time.Since(startedAt).Seconds() * float64(size)
			b.ReportMetric(bytes/elapsed, "B/s/node")
			b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/elapsed, "cpu-us/s/node")
		})
	}
}

// cpuTime returns the CPU time of this process since its start.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// traffic returns the bytes sent and received by all nodes over the control channel.
func (f *fleet) traffic() int64 {
	var sum int64
	for _, control := range f.controls {
		traffic := control.Traffic()
		sum += traffic.Sent + traffic.Received
	}

	return sum
}
