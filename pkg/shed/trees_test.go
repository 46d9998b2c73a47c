package shed_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/queue"
	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

// The load consists of call trees with eight sequential calls each to a service with 100 slots.
const (
	simStep      = 5 * time.Millisecond
	callsPerTree = 8
	slots        = 100
	maxRunning   = 90
	maxWaiting   = 200
	maxWait      = 250 * time.Millisecond
	callSeconds  = 0.0215
	callInterval = 30 * time.Millisecond
	treeDeadline = 1200 * time.Millisecond
	levelDelay   = 100 * time.Millisecond
	vitalShare   = 0.35
)

// callTree is one request with its calls.
type callTree struct {
	startedAt time.Duration
	calls     int
	vital     bool
	// due is the time at which the next call arrives or the running call ends.
	due time.Duration
	// entry is the queue entry of the waiting or running call.
	entry *queue.Entry
}

// outcomeCount counts the requests of one priority.
type outcomeCount struct{ offered, good float64 }

func (c outcomeCount) share() float64 { return c.good / c.offered }

// treeLoad simulates call trees on one pool of slots. A refused call fails its tree.
type treeLoad struct {
	rng                       *rand.Rand
	now                       time.Duration
	startTime                 time.Time
	controller                *shed.Controller
	queue                     *queue.Queue
	levels                    []float64
	pending, waiting, running []*callTree
	vital, bulk               outcomeCount
	// completed counts the trees that completed in time during the phase, including those that started before it.
	completed float64
}

func newTreeLoad(seed uint64) *treeLoad {
	startTime := time.Now()

	return &treeLoad{
		rng:        rand.New(rand.NewPCG(seed, 1)),
		startTime:  startTime,
		controller: shed.NewController(startTime),
		queue:      queue.New(queue.Limits{Slots: slots, MaxRunning: maxRunning, MaxWaiting: maxWaiting, MaxWait: maxWait}),
	}
}

// run offers call trees at a rate per second for the given time. The counts cover trees that start in this phase.
func (l *treeLoad) run(rate float64, span time.Duration) {
	l.vital, l.bulk, l.completed = outcomeCount{}, outcomeCount{}, 0
	phaseStart := l.now
	for until := l.now + span; l.now < until; l.now += simStep {
		l.offer(rate)
		l.finishDue(phaseStart)
		l.enqueueDue()
		load := float64(len(l.running)+len(l.waiting)) / slots
		l.controller.Observe(l.startTime.Add(l.now), load)
		l.levels = append(l.levels, l.controller.Level())
	}
}

// offer admits the trees of one step by the level that entry nodes know, which lags by levelDelay.
func (l *treeLoad) offer(rate float64) {
	level := 1.0
	if oldIndex := len(l.levels) - int(levelDelay/simStep); oldIndex >= 0 {
		level = l.levels[oldIndex]
	}
	for range l.randomRound(rate * simStep.Seconds()) {
		tree := &callTree{startedAt: l.now, calls: callsPerTree, vital: l.rng.Float64() < vitalShare, due: l.now + callInterval}
		request := shed.Request{Priority: 1, LowestPriority: 1, Random: l.rng.Float64()}
		if tree.vital {
			request.Priority = 0
			l.vital.offered++
		} else {
			l.bulk.offered++
		}
		if level >= 1 || request.Rank(1) < level {
			l.pending = append(l.pending, tree)
		}
	}
}

// randomRound rounds up or down at random so that the results have the given mean.
func (l *treeLoad) randomRound(mean float64) int {
	whole := int(mean)
	if l.rng.Float64() < mean-float64(whole) {
		whole++
	}

	return whole
}

// finishDue ends the running calls that are due and counts the trees that complete before their deadline.
func (l *treeLoad) finishDue(phaseStart time.Duration) {
	l.running = slices.DeleteFunc(l.running, func(tree *callTree) bool {
		if tree.due > l.now {
			return false
		}
		l.queue.Release(l.startTime.Add(l.now))
		tree.calls--
		tree.due = l.now + callInterval
		if tree.calls > 0 {
			l.pending = append(l.pending, tree)
		} else if l.now-tree.startedAt <= treeDeadline {
			l.countCompleted(tree, phaseStart)
		}

		return true
	})
}

// countCompleted counts a tree that completed before its deadline.
func (l *treeLoad) countCompleted(tree *callTree, phaseStart time.Duration) {
	l.completed++
	switch {
	case tree.startedAt < phaseStart:
	case tree.vital:
		l.vital.good++
	default:
		l.bulk.good++
	}
}

// enqueueDue queues the calls that are due and starts those that the queue lets run.
func (l *treeLoad) enqueueDue() {
	l.pending = slices.DeleteFunc(l.pending, func(tree *callTree) bool {
		if tree.due > l.now {
			return false
		}
		tree.entry = l.queue.Submit(l.startTime.Add(l.now), queue.Item{Deadline: l.startTime.Add(tree.startedAt + treeDeadline)})
		l.waiting = append(l.waiting, tree)

		return true
	})
	l.queue.Expire(l.startTime.Add(l.now))
	l.waiting = slices.DeleteFunc(l.waiting, func(tree *callTree) bool {
		select {
		case reason := <-tree.entry.Decided():
			if reason == call.ReasonOK {
				tree.due = l.now + time.Duration((0.6+0.8*l.rng.Float64())*callSeconds*float64(time.Second))
				l.running = append(l.running, tree)
			}

			return true
		default:
			return false
		}
	})
}

// In a surge to more than twice the capacity, a call tree fails if any of its calls is refused. Most of the capacity must still go to
// trees that complete in time.
func TestCallTreesAreServedInASurge(t *testing.T) {
	capacity := maxRunning / callSeconds / callsPerTree
	for seed := range uint64(5) {
		l := newTreeLoad(seed)
		l.run(0.85*capacity, 3*time.Second)
		l.run(2.2*capacity, 2*time.Second)
		l.run(2.2*capacity, 6*time.Second)
		used := (l.vital.good + l.bulk.good) / 6 / capacity
		require.Greater(t, used, 0.75)
		require.Greater(t, l.vital.share(), l.bulk.share())
	}
}

// In the first seconds of the surge the level is still too high. The queue prefers calls of trees that have progressed furthest, so that
// the excess of admitted trees does not make all trees fail.
func TestCallTreesAreServedFromTheFirstSecondOfASurge(t *testing.T) {
	capacity := maxRunning / callSeconds / callsPerTree
	for seed := range uint64(5) {
		l := newTreeLoad(seed)
		l.run(0.85*capacity, 3*time.Second)
		for second := range 3 {
			l.run(2.2*capacity, time.Second)
			require.Greater(t, l.completed/capacity, 0.75, "seed %d, second %d", seed, second)
		}
	}
}
