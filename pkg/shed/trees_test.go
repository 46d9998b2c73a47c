package shed_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

// Dimensions of the load: call trees of eight calls, one after another, to a service of 100 slots.
const (
	treeStep    = 5 * time.Millisecond
	treeCalls   = 8
	treeSlots   = 100
	treeRunning = 90
	treeWaiting = 200
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
	levels                   []float64
	coming, waiting, running []*callTree
	vital, bulk              treeCount
}

func newTreeLoad(seed uint64) *treeLoad {
	began := time.Now()

	return &treeLoad{rng: rand.New(rand.NewPCG(seed, 1)), began: began, controller: shed.NewController(began)}
}

// play offers trees at a rate for a while, and counts those that begin from then on.
func (l *treeLoad) play(rate float64, span time.Duration) {
	l.vital, l.bulk = treeCount{}, treeCount{}
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
		demand := shed.Demand{Priority: 1, Lowest: 1, Draw: l.rng.Float64()}
		if tree.vital {
			demand.Priority = 0
			l.vital.offered++
		} else {
			l.bulk.offered++
		}
		if level >= 1 || demand.Rank() < level {
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
		tree.calls--
		tree.due = l.now + treePause
		switch {
		case tree.calls > 0:
			l.coming = append(l.coming, tree)
		case tree.began < first || l.now-tree.began > treeAim:
		case tree.vital:
			l.vital.good++
		default:
			l.bulk.good++
		}

		return true
	})
}

// arrive queues the calls that are due and starts as many as may run.
func (l *treeLoad) arrive() {
	l.coming = slices.DeleteFunc(l.coming, func(tree *callTree) bool {
		if tree.due > l.now {
			return false
		}
		if len(l.waiting) < treeWaiting {
			l.waiting = append(l.waiting, tree)
		}

		return true
	})
	for len(l.running) < treeRunning && len(l.waiting) > 0 {
		tree := l.waiting[0]
		l.waiting = l.waiting[1:]
		tree.due = l.now + time.Duration((0.6+0.8*l.rng.Float64())*treeWork*float64(time.Second))
		l.running = append(l.running, tree)
	}
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
