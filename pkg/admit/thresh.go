package admit

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const (
	// thresholdWindow is the minimum interval between changes of the threshold.
	thresholdWindow = 100 * time.Millisecond
	// bands is the number of bands of all classes, eight for each class; the threshold moves in whole bands.
	bands = int(call.MaxRank >> bandShift)
	// windowDecay is the weight of the previous windows in the counts of arrivals and completions.
	windowDecay = 0.5
	// admitHeadroom is the ratio of admitted arrivals to completions at which the threshold is set under overload.
	admitHeadroom = 1.1
	// overloadRefusedShare is the share of arrivals refused for load above which the node is overloaded.
	overloadRefusedShare = 0.02
	// spareImmediateShare is the share of arrivals that start at once from which the node has spare capacity.
	spareImmediateShare = 0.25
	// minLowerStep is the number of bands by which the threshold is first lowered.
	minLowerStep = 2
)

// threshold computes the lowest rank that the node has capacity for, from the arrivals, completions and refusals of each
// window. Streams are not counted.
type threshold struct {
	windowStart time.Time
	// arrivals counts the arrivals of each band, completions the ended executions; both decay with each window.
	arrivals          [bands]float64
	completions       float64
	windowArrivals    int
	windowCompletions int
	loadRefusals      int
	immediateStarts   int
	// minBand is the lowest admitted band, lowerStep the number of bands by which the next window with spare capacity lowers it.
	minBand   int
	lowerStep int
}

// addArrival counts an arrival of that rank.
func (t *threshold) addArrival(rank call.Rank) {
	t.arrivals[min(int(rank>>bandShift), bands-1)]++
	t.windowArrivals++
}

// rank returns the lowest rank worth sending to this node; it never excludes the vital class.
func (t *threshold) rank() call.Rank {
	return min(call.Rank(t.minBand)<<bandShift, call.ClassVital.MinRank())
}

// roll closes the window once it has lasted long enough. It lowers the threshold if there is spare capacity, raises it under
// overload, and otherwise leaves it unchanged.
func (t *threshold) roll(now time.Time) {
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	span := now.Sub(t.windowStart)
	if span < thresholdWindow {
		return
	}
	t.completions = t.completions*windowDecay + float64(t.windowCompletions)
	hasRoom := float64(t.immediateStarts) >= spareImmediateShare*float64(t.windowArrivals)
	overloaded := float64(t.loadRefusals) > overloadRefusedShare*float64(t.windowArrivals)
	switch {
	case hasRoom:
		t.lower(span)
	case overloaded:
		t.raise()
	}
	for i := range t.arrivals {
		t.arrivals[i] *= windowDecay
	}
	t.windowStart = now
	t.windowArrivals, t.windowCompletions, t.loadRefusals, t.immediateStarts = 0, 0, 0, 0
}

// raise raises the threshold until the arrivals at or above it exceed the completions by no more than the headroom.
func (t *threshold) raise() {
	capacity := t.completions * admitHeadroom
	band := bands - 1
	for band > t.minBand {
		capacity -= t.arrivals[band]
		if capacity < 0 {
			break
		}
		band--
	}
	t.minBand = max(t.minBand, band)
	t.lowerStep = minLowerStep
}

// lower lowers the threshold by a step that doubles with each window of spare capacity in a row.
func (t *threshold) lower(span time.Duration) {
	for ; span >= thresholdWindow && t.minBand > 0; span -= thresholdWindow {
		t.minBand = max(t.minBand-max(t.lowerStep, minLowerStep), 0)
		t.lowerStep = max(t.lowerStep, minLowerStep) * 2
	}
}
