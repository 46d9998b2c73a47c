package queue_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/queue"
	"github.com/pistachiotack/pistachiotack/pkg/rate"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var limits = queue.Limits{Slots: 4, MaxRunning: 2, MaxWaiting: 2, MaxWait: 250 * time.Millisecond, MinRemaining: 5 * time.Millisecond}

// decision returns the decision on an entry, empty while it waits.
func decision(entry *queue.Entry) call.Reason {
	select {
	case reason := <-entry.Decided():
		return reason
	default:
		return ""
	}
}

func TestImportantCallsRunFirstAndTheLeastImportantIsRefused(t *testing.T) {
	now := time.Now()
	q := queue.New(limits)
	item := func(rank int) queue.Item { return queue.Item{Rank: rank, Deadline: now.Add(time.Second)} }
	require.Equal(t, call.ReasonOK, decision(q.Submit(now, item(1))))
	require.Equal(t, call.ReasonOK, decision(q.Submit(now, item(1))))
	leastImportant, important, mostImportant := q.Submit(now, item(3)), q.Submit(now, item(2)), q.Submit(now, item(0))
	require.Equal(t, call.ReasonQueueFull, decision(leastImportant))
	require.Empty(t, decision(important))
	q.Release(now)
	require.Equal(t, call.ReasonOK, decision(mostImportant))
	q.Release(now)
	require.Equal(t, call.ReasonOK, decision(important))
}

func TestRefusals(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		action    func(q *queue.Queue)
		remaining time.Duration
		reason    call.Reason
	}{
		"too late when submitted": {func(*queue.Queue) {}, time.Millisecond, call.ReasonHopeless},
		"waits too long":          {func(q *queue.Queue) { q.Expire(now.Add(300 * time.Millisecond)) }, time.Second, call.ReasonQueueTimeout},
		"too late while waiting":  {func(q *queue.Queue) { q.Expire(now.Add(98 * time.Millisecond)) }, 100 * time.Millisecond, call.ReasonHopeless},
		"server drains":           {func(q *queue.Queue) { q.RefuseAll(call.ReasonDraining) }, time.Second, call.ReasonDraining},
		"limit is raised":         {func(q *queue.Queue) { more := limits; more.MaxRunning = 3; q.SetLimits(now, more) }, time.Second, call.ReasonOK},
	} {
		t.Run(name, func(t *testing.T) {
			q := queue.New(limits)
			for range limits.MaxRunning {
				q.Submit(now, queue.Item{Deadline: now.Add(time.Second)})
			}
			entry := q.Submit(now, queue.Item{Deadline: now.Add(test.remaining)})
			test.action(q)
			require.Equal(t, test.reason, decision(entry))
		})
	}
}

// Each entry is decided at most once, the limits on running and waiting calls hold, and no call waits while there is a free slot.
func TestQueueKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		q := queue.New(limits)
		var waiting []*queue.Entry
		running := 0
		collectDecisions := func() {
			undecided := waiting[:0]
			for _, entry := range waiting {
				switch decision(entry) {
				case "":
					undecided = append(undecided, entry)
				case call.ReasonOK:
					running++
				}
			}
			waiting = undecided
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "passed")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				remaining := time.Duration(rapid.IntRange(0, 400).Draw(t, "left")) * time.Millisecond
				waiting = append(waiting, q.Submit(now, queue.Item{Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Deadline: now.Add(remaining)}))
			case 2:
				if running > 0 {
					running--
					q.Release(now)
				}
			case 3:
				if len(waiting) > 0 && q.Remove(waiting[0]) {
					waiting = waiting[1:]
				}
			}
			collectDecisions()
			load := q.Load()
			require.Equal(t, running, load.Running)
			require.LessOrEqual(t, load.Running, limits.MaxRunning)
			require.LessOrEqual(t, load.Waiting, limits.MaxWaiting)
			require.False(t, load.Waiting > 0 && load.Running < limits.MaxRunning)
			require.Len(t, waiting, load.Waiting)
		}
	})
}

// The load: four times the calls that a server's rate limit allows, half of them important.
func TestRateLimitGoesToTheMostImportantCalls(t *testing.T) {
	now := time.Now()
	q := queue.New(queue.Limits{Slots: 100, MaxRunning: 90, MaxWaiting: 200, MaxWait: 250 * time.Millisecond, MinRemaining: 5 * time.Millisecond})
	q.SetRateLimit(now, rate.PerSecond(20))
	const step = 25 * time.Millisecond
	started, refused := map[int]int{}, map[call.Reason]int{}
	entries := map[*queue.Entry]int{}
	for i := range 400 {
		now = now.Add(step)
		q.Expire(now)
		for _, rank := range []int{1, 3} {
			entries[q.Submit(now, queue.Item{Rank: rank, Deadline: now.Add(time.Second)})] = rank
		}
		for entry, rank := range entries {
			switch reason := decision(entry); reason {
			case "":
				continue
			case call.ReasonOK:
				started[rank]++
				q.Release(now)
			default:
				refused[reason]++
			}
			delete(entries, entry)
		}
		if i > 40 {
			load := q.BindingLoad(now)
			require.Equal(t, 20, load.Slots)
			require.Greater(t, load.Utilisation(), 2.0)
		}
	}
	require.InDelta(t, 200, started[1]+started[3], 2)
	require.LessOrEqual(t, started[3], 2)
	require.Greater(t, refused[call.ReasonRateLimited], refused[call.ReasonQueueTimeout])
}
