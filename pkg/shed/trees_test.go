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

// Dimensions of the load: call trees of eight calls, one after another, to a service of 100 slots.
const (
	treeStep    = 5 * time.Millisecond
	treeCalls   = 8
	treeSlots   = 100
	treeRunning = 90
	treeWaiting = 200
	treeWait    = 250 * time.Millisecond
	treeWork    = 0.0215
	treePause   = 30 * time.Millisecond
	treeAim     = 1200 * time.Millisecond
	treeLag     = 100 * time.Millisecond
	vitalShare  = 0.35
)

// callTree is one request on its way.
type callTree struct {
	began time.Duration
	calls int
	vital bool
	// due is when the next call arrives, or when the one that runs ends.
	due time.Duration
	// ticket is the one of a call that waits or runs.
	ticket *queue.Entry
}

// treeCount counts the requests of one priority.
type treeCount struct{ offered, good float64 }

func (c treeCount) share() float64 { return c.good / c.offered }

// treeLoad plays call trees against one pool of slots, whose full queue refuses calls and so fails their trees.
type treeLoad struct {
	rng                      *rand.Rand
	now                      time.Duration
	began                    time.Time
	controller               *shed.Controller
	queue                    *queue.Queue
	levels                   []float64
	coming, waiting, running []*callTree
	vital, bulk              treeCount
	// ended counts the trees that ended well in the phase, whenever they began.
	ended float64
}

func newTreeLoad(seed uint64) *treeLoad {
	began := time.Now()

	return &treeLoad{
		rng:        rand.New(rand.NewPCG(seed, 1)),
		began:      began,
		controller: shed.NewController(began),
		queue:      queue.New(queue.Limits{Slots: treeSlots, MaxRunning: treeRunning, MaxWaiting: treeWaiting, MaxWait: treeWait}),
	}
}

// play offers trees at a rate for a while, and counts those that begin from then on.
func (l *treeLoad) play(rate float64, span time.Duration) {
	l.vital, l.bulk, l.ended = treeCount{}, treeCount{}, 0
	first := l.now
	for end := l.now + span; l.now < end; l.now += treeStep {
		l.offer(rate)
		l.finish(first)
		l.arrive()
		load := float64(len(l.running)+len(l.waiting)) / treeSlots
		l.controller.Observe(l.began.Add(l.now), load)
		l.levels = append(l.levels, l.controller.Level())
	}
}

// offer admits the trees of one step by the level that entries know, which is a little old.
func (l *treeLoad) offer(rate float64) {
	level := 1.0
	if old := len(l.levels) - int(treeLag/treeStep); old >= 0 {
		level = l.levels[old]
	}
	for range l.draw(rate * treeStep.Seconds()) {
		tree := &callTree{began: l.now, calls: treeCalls, vital: l.rng.Float64() < vitalShare, due: l.now + treePause}
		demand := shed.Request{Priority: 1, LowestPriority: 1, Random: l.rng.Float64()}
		if tree.vital {
			demand.Priority = 0
			l.vital.offered++
		} else {
			l.bulk.offered++
		}
		if level >= 1 || demand.Rank(1) < level {
			l.coming = append(l.coming, tree)
		}
	}
}

// draw returns a whole number with that mean.
func (l *treeLoad) draw(mean float64) int {
	whole := int(mean)
	if l.rng.Float64() < mean-float64(whole) {
		whole++
	}

	return whole
}

// finish ends the calls that are due; a tree counts if it began in the phase and was whole in time.
func (l *treeLoad) finish(first time.Duration) {
	l.running = slices.DeleteFunc(l.running, func(tree *callTree) bool {
		if tree.due > l.now {
			return false
		}
		l.queue.Release(l.began.Add(l.now))
		tree.calls--
		tree.due = l.now + treePause
		if tree.calls > 0 {
			l.coming = append(l.coming, tree)
		} else if l.now-tree.began <= treeAim {
			l.count(tree, first)
		}

		return true
	})
}

// count takes a tree that was whole in time.
func (l *treeLoad) count(tree *callTree, first time.Duration) {
	l.ended++
	switch {
	case tree.began < first:
	case tree.vital:
		l.vital.good++
	default:
		l.bulk.good++
	}
}

// arrive queues the calls that are due and starts as many as may run.
func (l *treeLoad) arrive() {
	l.coming = slices.DeleteFunc(l.coming, func(tree *callTree) bool {
		if tree.due > l.now {
			return false
		}
		tree.ticket = l.queue.Submit(l.began.Add(l.now), queue.Item{Deadline: l.began.Add(tree.began + treeAim)})
		l.waiting = append(l.waiting, tree)

		return true
	})
	l.queue.Expire(l.began.Add(l.now))
	l.waiting = slices.DeleteFunc(l.waiting, func(tree *callTree) bool {
		select {
		case reason := <-tree.ticket.Decided():
			if reason == call.ReasonOK {
				tree.due = l.now + time.Duration((0.6+0.8*l.rng.Float64())*treeWork*float64(time.Second))
				l.running = append(l.running, tree)
			}

			return true
		default:
			return false
		}
	})
}

// The load is a surge to twice the capacity of the deepest service by whole call trees, each of which fails with any of its calls.
func TestCallTreesAreServedInASurge(t *testing.T) {
	capacity := treeRunning / treeWork / treeCalls
	for seed := range uint64(5) {
		l := newTreeLoad(seed)
		l.play(0.85*capacity, 3*time.Second)
		l.play(2.2*capacity, 2*time.Second)
		l.play(2.2*capacity, 6*time.Second)
		used := (l.vital.good + l.bulk.good) / 6 / capacity
		require.Greater(t, used, 0.75)
		require.Greater(t, l.vital.share(), l.bulk.share())
	}
}

// The same surge in its first seconds, before the level has found its place: calls of trees that have come far go first, so that what
// is admitted too much does not fail all.
func TestCallTreesAreServedFromTheFirstSecondOfASurge(t *testing.T) {
	capacity := treeRunning / treeWork / treeCalls
	for seed := range uint64(5) {
		l := newTreeLoad(seed)
		l.play(0.85*capacity, 3*time.Second)
		for second := range 3 {
			l.play(2.2*capacity, time.Second)
			require.Greater(t, l.ended/capacity, 0.75, "seed %d, second %d", seed, second)
		}
	}
}
