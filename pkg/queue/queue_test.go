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
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var limits = queue.Limits{Slots: 4, MaxRunning: 2, MaxWaiting: 2, MaxWait: 250 * time.Millisecond, MinRemaining: 5 * time.Millisecond}

// decided returns the decision on a ticket, empty while it waits.
func decided(t *queue.Entry) call.Reason {
	select {
	case reason := <-t.Decided():
		return reason
	default:
		return ""
	}
}

func TestImportantCallsGoFirstAndTheLastIsRefused(t *testing.T) {
	now := time.Now()
	q := queue.New(limits)
	item := func(rank int) queue.Item { return queue.Item{Rank: rank, Deadline: now.Add(time.Second)} }
	require.Equal(t, call.ReasonOK, decided(q.Submit(now, item(1))))
	require.Equal(t, call.ReasonOK, decided(q.Submit(now, item(1))))
	bulk, later, vital := q.Submit(now, item(3)), q.Submit(now, item(2)), q.Submit(now, item(0))
	require.Equal(t, call.ReasonQueueFull, decided(bulk))
	require.Empty(t, decided(later))
	q.Release(now)
	require.Equal(t, call.ReasonOK, decided(vital))
	q.Release(now)
	require.Equal(t, call.ReasonOK, decided(later))
}

func TestRefusals(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		act    func(q *queue.Queue)
		left   time.Duration
		reason call.Reason
	}{
		"no time left when it comes": {func(*queue.Queue) {}, time.Millisecond, call.ReasonHopeless},
		"waits too long":             {func(q *queue.Queue) { q.Expire(now.Add(300 * time.Millisecond)) }, time.Second, call.ReasonQueueTimeout},
		"no time left when it waits": {func(q *queue.Queue) { q.Expire(now.Add(98 * time.Millisecond)) }, 100 * time.Millisecond, call.ReasonHopeless},
		"server leaves":              {func(q *queue.Queue) { q.RefuseAll(call.ReasonDraining) }, time.Second, call.ReasonDraining},
		"more may run":               {func(q *queue.Queue) { more := limits; more.MaxRunning = 3; q.SetLimits(now, more) }, time.Second, call.ReasonOK},
	} {
		t.Run(name, func(t *testing.T) {
			q := queue.New(limits)
			for range limits.MaxRunning {
				q.Submit(now, queue.Item{Deadline: now.Add(time.Second)})
			}
			ticket := q.Submit(now, queue.Item{Deadline: now.Add(test.left)})
			test.act(q)
			require.Equal(t, test.reason, decided(ticket))
		})
	}
}

// Each ticket is decided at most once, no more calls run than may, and none waits while another may run.
func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		q := queue.New(limits)
		var waiting []*queue.Entry
		running := 0
		settle := func() {
			still := waiting[:0]
			for _, ticket := range waiting {
				switch decided(ticket) {
				case "":
					still = append(still, ticket)
				case call.ReasonOK:
					running++
				}
			}
			waiting = still
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "passed")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				left := time.Duration(rapid.IntRange(0, 400).Draw(t, "left")) * time.Millisecond
				waiting = append(waiting, q.Submit(now, queue.Item{Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Deadline: now.Add(left)}))
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
			settle()
			load := q.Load()
			require.Equal(t, running, load.Running)
			require.LessOrEqual(t, load.Running, limits.MaxRunning)
			require.LessOrEqual(t, load.Waiting, limits.MaxWaiting)
			require.False(t, load.Waiting > 0 && load.Running < limits.MaxRunning)
			require.Len(t, waiting, load.Waiting)
		}
	})
}
