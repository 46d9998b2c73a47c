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

// event is a request or a repeat at one moment.
type event struct {
	at     time.Time
	repeat bool
}

// within counts the events of one sort in the window that ends at a moment.
func within(events []event, end time.Time, repeat bool) int {
	count := 0
	for _, e := range events {
		if e.repeat == repeat && !e.at.After(end) && e.at.After(end.Add(-window)) {
			count++
		}
	}

	return count
}

// In any window, repeats stay within ratio times the requests of that window, the one before or the one half a window before,
// plus the slack, added up over all nodes.
func TestNoWindowExceedsTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		nodes := rapid.IntRange(1, 4).Draw(t, "nodes")
		limits := quota.Limits{Ratio: 0.2, Slack: 50, Window: window, Nodes: nodes}
		fleet := make([]*quota.Quota, nodes)
		for i := range fleet {
			fleet[i] = quota.New(limits)
		}
		now := time.Unix(1_700_000_000, 0)
		var events []event
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
			node := fleet[rng.IntN(nodes)]
			if rng.IntN(2) == 0 {
				node.CountRequest(now, "alarm")
				events = append(events, event{at: now})

				continue
			}
			if node.Take(now, map[string]float64{"alarm": 1}) {
				events = append(events, event{at: now, repeat: true})
			}
			most := max(within(events, now, false), within(events, now.Add(-window), false), within(events, now.Add(-window/2), false))
			require.LessOrEqual(t, float64(within(events, now, true)), 0.2*float64(most)+50)
		}
	})
}

func TestRepeatCostsAllServicesOfItsTreeOrNone(t *testing.T) {
	now := time.Now()
	q := quota.New(quota.Limits{Ratio: 0.2, Slack: 10, Window: window, Nodes: 1})
	require.True(t, q.Take(now, map[string]float64{"keuring": 1, "alarm": 2}))
	left := q.Remaining(now, "keuring")
	require.False(t, q.Take(now, map[string]float64{"keuring": 1, "alarm": 8}))
	require.InDelta(t, left, q.Remaining(now, "keuring"), 0.001)
}

// The load is a fleet whose nodes are all killed and start again: none knows yet how many share the slack.
func TestNodesThatStartTogetherDoNotSpendTheSlackOfAll(t *testing.T) {
	now := time.Now()
	repeats := 0
	for range 18 {
		q := quota.New(quota.Limits{Ratio: 0.2, Slack: 50, Window: window})
		for q.Take(now, map[string]float64{"keuring": 1}) {
			repeats++
		}
	}
	require.LessOrEqual(t, repeats, 50)
}

func TestIdleTimeBringsNoMoreThanTheSlack(t *testing.T) {
	now := time.Now()
	q := quota.New(quota.Limits{Ratio: 0.2, Slack: 10, Window: window, Nodes: 1})
	for range 1000 {
		q.CountRequest(now, "alarm")
	}
	require.Greater(t, q.Remaining(now, "alarm"), 100.0)
	require.Less(t, q.Remaining(now.Add(time.Hour), "alarm"), 10.0)
}
