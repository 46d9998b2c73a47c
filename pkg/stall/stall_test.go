package stall_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/stall"
)

const (
	read   = "read"
	export = "export"
)

func at(ms int) time.Time {
	return time.UnixMilli(int64(ms))
}

// trainedDetector returns a detector that has seen reads of 50 ms and exports of 2 s, with no call running at 10 s.
func trainedDetector() *stall.Detector {
	d := stall.New()
	for range 20 {
		d.Start(at(0))
		d.Finish(at(10_000), read, 50*time.Millisecond)
		d.Start(at(0))
		d.Finish(at(10_000), export, 2*time.Second)
	}

	return d
}

func TestStalled(t *testing.T) {
	d := trainedDetector()
	require.False(t, d.Stalled(at(60_000), read), "an idle server is not stalled")
	d.Start(at(60_000))
	require.False(t, d.Stalled(at(60_400), read))
	require.True(t, d.Stalled(at(60_600), read))
	require.False(t, d.Stalled(at(70_000), export), "a kind of long duration has more time")
	require.False(t, d.Stalled(at(99_000), "unknown"), "the usual duration has to be known")
	d.Start(at(60_500))
	d.Finish(at(61_000), read, 500*time.Millisecond)
	require.False(t, d.Stalled(at(61_400), read), "a response to another call is progress")
	d.FinishWithoutResponse()
	require.False(t, d.Stalled(at(99_000), read))
}

// A server that has become five times slower still responds and must not count as stalled, at any load.
func TestSlowServerThatRespondsIsNotStalled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := trainedDetector()
		now, gap := 60_000, rapid.IntRange(1, 250).Draw(t, "gap")
		var ends []int
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			for len(ends) > 0 && ends[0] <= now {
				d.Finish(at(ends[0]), read, 250*time.Millisecond)
				ends = ends[1:]
			}
			d.Start(at(now))
			ends = append(ends, now+250)
			require.False(t, d.Stalled(at(now), read))
			now += gap
		}
	})
}

func TestUnresponsiveServerIsAlwaysDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := trainedDetector()
		now := 60_000
		for range rapid.IntRange(1, 50).Draw(t, "calls") {
			d.Start(at(now))
			if rapid.Bool().Draw(t, "lost") {
				d.Start(at(now))
				d.FinishWithoutResponse()
			}
			now += rapid.IntRange(0, 100).Draw(t, "gap")
		}
		require.True(t, d.Stalled(at(max(now, 60_000)+501), read))
	})
}
