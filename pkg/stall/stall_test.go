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

// learnt returns a detector whose reads take 50 ms and exports 2 s, with nothing running at 10 s.
func learnt() *stall.Detector {
	p := stall.New()
	for range 20 {
		p.Start(at(0))
		p.Finish(at(10_000), read, 50*time.Millisecond)
		p.Start(at(0))
		p.Finish(at(10_000), export, 2*time.Second)
	}

	return p
}

func TestStalled(t *testing.T) {
	p := learnt()
	require.False(t, p.Stalled(at(60_000), read), "idle is not stalled")
	p.Start(at(60_000))
	require.False(t, p.Stalled(at(60_400), read))
	require.True(t, p.Stalled(at(60_600), read))
	require.False(t, p.Stalled(at(70_000), export), "a long kind has more time")
	require.False(t, p.Stalled(at(99_000), "unknown"), "what is usual has to be known")
	p.Start(at(60_500))
	p.Finish(at(61_000), read, 500*time.Millisecond)
	require.False(t, p.Stalled(at(61_400), read), "another call that ends is a sign of life")
	p.FinishWithoutResponse()
	require.False(t, p.Stalled(at(99_000), read))
}

// TestSlowServerThatAnswersIsNotStalled slows a server fivefold, at any load.
func TestSlowServerThatAnswersIsNotStalled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := learnt()
		now, gap := 60_000, rapid.IntRange(1, 250).Draw(t, "gap")
		var ends []int
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			for len(ends) > 0 && ends[0] <= now {
				p.Finish(at(ends[0]), read, 250*time.Millisecond)
				ends = ends[1:]
			}
			p.Start(at(now))
			ends = append(ends, now+250)
			require.False(t, p.Stalled(at(now), read))
			now += gap
		}
	})
}

func TestSilentServerIsAlwaysFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := learnt()
		now := 60_000
		for range rapid.IntRange(1, 50).Draw(t, "calls") {
			p.Start(at(now))
			if rapid.Bool().Draw(t, "lost") {
				p.Start(at(now))
				p.FinishWithoutResponse()
			}
			now += rapid.IntRange(0, 100).Draw(t, "gap")
		}
		require.True(t, p.Stalled(at(max(now, 60_000)+501), read))
	})
}
