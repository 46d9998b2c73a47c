package quota_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/quota"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const window = 10 * time.Second

// event is a request or a retry.
type event struct {
	at    time.Time
	retry bool
}

// inWindow counts the retries or the requests in the window that ends at the given time.
func inWindow(events []event, end time.Time, retry bool) int {
	count := 0
	for _, e := range events {
		if e.retry == retry && !e.at.After(end) && e.at.After(end.Add(-window)) {
			count++
		}
	}

	return count
}

// In any window, the retries of all nodes together stay within the slack plus ratio times the requests of that window, of the previous
// one or of the one that began half a window earlier.
func TestNoWindowExceedsTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		nodes := rapid.IntRange(1, 4).Draw(t, "nodes")
		limits := quota.Limits{Ratio: 0.2, Slack: 50, Window: window, Nodes: nodes}
		quotas := make([]*quota.Quota, nodes)
		for i := range quotas {
			quotas[i] = quota.New(limits)
		}
		now := time.Unix(1_700_000_000, 0)
		var events []event
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
			node := quotas[rng.IntN(nodes)]
			if rng.IntN(2) == 0 {
				node.CountRequest(now, "alarm")
				events = append(events, event{at: now})

				continue
			}
			if node.Take(now, map[string]float64{"alarm": 1}) {
				events = append(events, event{at: now, retry: true})
			}
			requests := max(inWindow(events, now, false), inWindow(events, now.Add(-window), false), inWindow(events, now.Add(-window/2), false))
			require.LessOrEqual(t, float64(inWindow(events, now, true)), 0.2*float64(requests)+50)
		}
	})
}

func TestRetryIsChargedToAllServicesOfItsTreeOrNone(t *testing.T) {
	now := time.Now()
	q := quota.New(quota.Limits{Ratio: 0.2, Slack: 10, Window: window, Nodes: 1})
	require.True(t, q.Take(now, map[string]float64{"keuring": 1, "alarm": 2}))
	remaining := q.Remaining(now, "keuring")
	require.False(t, q.Take(now, map[string]float64{"keuring": 1, "alarm": 8}))
	require.InDelta(t, remaining, q.Remaining(now, "keuring"), 0.001)
}

// All nodes of a fleet are killed and restart. None of them knows yet how many nodes share the slack.
func TestNodesStartedTogetherDoNotExceedTheSlack(t *testing.T) {
	now := time.Now()
	retries := 0
	for range 18 {
		q := quota.New(quota.Limits{Ratio: 0.2, Slack: 50, Window: window})
		for q.Take(now, map[string]float64{"keuring": 1}) {
			retries++
		}
	}
	require.LessOrEqual(t, retries, 50)
}

func TestIdleTimeAddsNoMoreThanTheSlack(t *testing.T) {
	now := time.Now()
	q := quota.New(quota.Limits{Ratio: 0.2, Slack: 10, Window: window, Nodes: 1})
	for range 1000 {
		q.CountRequest(now, "alarm")
	}
	require.Greater(t, q.Remaining(now, "alarm"), 100.0)
	require.Less(t, q.Remaining(now.Add(time.Hour), "alarm"), 10.0)
}
