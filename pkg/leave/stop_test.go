package leave_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/leave"
)

var (
	limits = leave.NewLimits(grace, idleTime)
	epoch  = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
)

const (
	grace    = 6 * time.Second
	idleTime = 300 * time.Millisecond
	step     = 20 * time.Millisecond
	// knownAfter is the time until other nodes know of a change of state.
	knownAfter = 350 * time.Millisecond
	// runTime is the time for which admitted calls keep a node that refuses further ones, and restartTime the time from its end until
	// it serves again.
	runTime     = 500 * time.Millisecond
	restartTime = 1600 * time.Millisecond
	// maxGap is shorter than the time for which an entry node tries other nodes and the caller's own retry takes.
	maxGap = 300 * time.Millisecond
)

type node struct {
	stop leave.Stop
	// refusesAt and returnsAt bound the time in which the node accepts no calls; zero as long as they are not known.
	refusesAt, returnsAt time.Time
}

func (n *node) acceptsAt(at time.Time) bool {
	return n.refusesAt.IsZero() || at.Before(n.refusesAt) || !at.Before(n.returnsAt)
}

// stoppingAt reports whether the stop had begun and the node still accepted calls.
func (n *node) stoppingAt(at time.Time) bool {
	return !at.Before(n.stop.BeganAt) && (n.refusesAt.IsZero() || at.Before(n.refusesAt))
}

// decide refuses calls from now on if the node's turn has come.
func (n *node) decide(now time.Time, nodes []*node, limits leave.Limits) {
	elapsed := now.Sub(n.stop.BeganAt)
	if elapsed < 0 || !n.refusesAt.IsZero() {
		return
	}
	staying := 0
	var stopping []leave.Stop
	for _, other := range nodes {
		seenAt := now.Add(-knownAfter)
		switch {
		case other == n || !other.acceptsAt(seenAt):
		case other.stoppingAt(seenAt):
			stopping = append(stopping, other.stop)
		default:
			staying++
		}
	}
	if limits.Due(elapsed, n.stop, staying, stopping) {
		n.refusesAt, n.returnsAt = now, now.Add(runTime+restartTime)
	}
}

// longestGap stops the nodes of a service, some at a time, and returns the longest time in which none of them accepts calls.
func longestGap(count, atOnce int, interval time.Duration, limits leave.Limits) time.Duration {
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = &node{stop: leave.Stop{Node: fmt.Sprint(count - i), BeganAt: epoch.Add(5*time.Second + time.Duration(i/atOnce)*interval)}}
	}
	longest, gap := time.Duration(0), time.Duration(0)
	for now := epoch; now.Before(epoch.Add(30 * time.Second)); now = now.Add(step) {
		accepted := false
		for _, n := range nodes {
			n.decide(now, nodes, limits)
			accepted = accepted || n.acceptsAt(now)
		}
		if gap += step; accepted {
			gap = 0
		}
		longest = max(longest, gap)
	}

	return longest
}

// TestServiceIsServedWhileItsNodesAreStopped restarts all nodes of a small service in turn, as a rolling restart of the fleet does.
func TestServiceIsServedWhileItsNodesAreStopped(t *testing.T) {
	for count := 2; count <= 8; count++ {
		for atOnce := 1; atOnce <= min(3, count-1); atOnce++ {
			for _, interval := range []time.Duration{time.Second, 1300 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
				t.Run(fmt.Sprintf("%d nodes, %d at a time, %s apart", count, atOnce, interval), func(t *testing.T) {
					require.LessOrEqual(t, longestGap(count, atOnce, interval, limits), maxGap)
				})
			}
		}
	}
}

func TestDue(t *testing.T) {
	own := leave.Stop{Node: "b", BeganAt: epoch}
	sooner := leave.Stop{Node: "c", BeganAt: epoch.Add(-time.Second)}
	later := leave.Stop{Node: "a", BeganAt: epoch.Add(time.Second)}
	tests := map[string]struct {
		elapsed  time.Duration
		staying  int
		stopping []leave.Stop
		due      bool
	}{
		"too early":                    {time.Second, 9, nil, false},
		"another one stays":            {1500 * time.Millisecond, 1, nil, true},
		"another one goes later":       {1500 * time.Millisecond, 0, []leave.Stop{later}, true},
		"another one goes sooner":      {1500 * time.Millisecond, 0, []leave.Stop{sooner}, false},
		"at the same time, by name":    {1500 * time.Millisecond, 0, []leave.Stop{{Node: "c", BeganAt: epoch}}, true},
		"at the same time, not yet":    {1500 * time.Millisecond, 0, []leave.Stop{{Node: "a", BeganAt: epoch}}, false},
		"the last one":                 {2600 * time.Millisecond, 0, nil, false},
		"the last one must go as well": {2700 * time.Millisecond, 0, nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.due, limits.Due(test.elapsed, own, test.staying, test.stopping))
		})
	}
}

// A node that waits longer than others, as the only one of its service, must be idle by half of its grace period, so that its services
// have time to end.
func TestTheLastNodeLeavesHalfOfItsGracePeriod(t *testing.T) {
	for _, period := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, grace, time.Minute} {
		own := leave.NewLimits(period, idleTime)
		require.LessOrEqual(t, own.Earliest, period/4, "grace period %s", period)
		require.GreaterOrEqual(t, own.Latest, own.Earliest, "grace period %s", period)
		if own.Latest > own.Earliest {
			require.LessOrEqual(t, own.Latest+idleTime, period/2, "grace period %s", period)
		}
	}
}
