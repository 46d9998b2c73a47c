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

var sizes = []int{25, 50, 100, 200}

// BenchmarkSpread measures the time from acceptance to the median and to the last node, with the table up and lost at once.
// Run it as: go test ./internal/holder -run '^$' -bench Spread -benchtime 10x
func BenchmarkSpread(b *testing.B) {
	for _, size := range sizes {
		for name, mode := range map[string]plat.Mode{"tableUp": plat.ModeNone, "tableLost": plat.ModeDown} {
			b.Run(fmt.Sprintf("nodes=%d/%s", size, name), func(b *testing.B) {
				f := newFullFleet(b, size)
				var medians, lasts []time.Duration
				for b.Loop() {
					median, last := f.timeOneEdit(b, mode)
					medians, lasts = append(medians, median), append(lasts, last)
				}
				slices.Sort(medians)
				slices.Sort(lasts)
				report := func(d time.Duration, unit string) { b.ReportMetric(float64(d.Microseconds())/1000, unit) }
				report(medians[len(medians)/2], "ms/medianNode")
				report(lasts[len(lasts)/2], "ms/lastNode")
				report(lasts[len(lasts)-1], "ms/worstLastNode")
			})
		}
	}
}

// newFullFleet starts nodes with the intervals that they have in service.
func newFullFleet(b *testing.B, size int) *fleet {
	f := newFleet(b, 0)
	f.options = holder.Options{}
	for range size {
		f.grow(good)
	}
	f.seed(start)

	return f
}

// timeOneEdit returns when the median and the last node had an edit, counted from before the write that accepts it.
func (f *fleet) timeOneEdit(b *testing.B, mode plat.Mode) (median, last time.Duration) {
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
	began := coordinator.Record().At
	waits := make([]time.Duration, len(f.nodes))
	for left := len(waits); left > 0; time.Sleep(200 * time.Microsecond) {
		require.Less(b, time.Since(began), patience, "%d nodes without the revision", left)
		for i, n := range f.nodes {
			if waits[i] == 0 && n.Snapshot().Revision() >= revision {
				waits[i] = time.Since(began)
				left--
			}
		}
	}
	result := <-decided
	require.Equal(b, trial.StateAccepted, result.State, result.Detail)
	f.platform.SetFault(plat.NewFault(plat.ModeNone))
	require.Eventually(b, func() bool {
		_, err := f.store.Get(context.Background(), "settings/head")

		return err == nil && len(coordinator.Degraded()) == 0
	}, patience, time.Millisecond)
	slices.Sort(waits)

	return waits[len(waits)/2], waits[len(waits)-1]
}

// BenchmarkRest measures holders at rest: control traffic in bytes a second for each node, both directions, and processor time.
func BenchmarkRest(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			f := newFullFleet(b, size)
			before, used, began := f.traffic(), processorTime(b), time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			bytes := float64(f.traffic() - before)
			elapsed := time.Since(began).Seconds() * float64(size)
			b.ReportMetric(bytes/elapsed, "B/s/node")
			b.ReportMetric(float64((processorTime(b)-used).Microseconds())/elapsed, "cpu-us/s/node")
		})
	}
}

// processorTime is what this process has used so far.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (f *fleet) traffic() int64 {
	var sum int64
	for _, control := range f.controls {
		traffic := control.Traffic()
		sum += traffic.Sent + traffic.Received
	}

	return sum
}
