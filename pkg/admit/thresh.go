package admit

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const (
	thresholdWindow = 100 * time.Millisecond
	// bands is the number of steps that a threshold can take, eight for each class.
	bands    = int(call.MaxRank >> bandShift)
	memory   = 0.5
	headroom = 1.1
	// pressureShare is the share of arrivals refused for load above which the node is overloaded.
	pressureShare = 0.02
	// instantShare is the share of arrivals that find a free slot above which the node has room.
	instantShare = 0.25
	firstStep    = 2
)

// threshold follows which ranks the node can carry, from what arrives, what ends and what is refused.
type threshold struct {
	start    time.Time
	arrived  [bands]float64
	ended    float64
	offered  int
	finished int
	pressed  int
	instant  int
	// band is the lowest that is admitted, step how far it falls in the next calm window.
	band int
	step int
}

func (t *threshold) arrive(rank call.Rank) {
	t.arrived[min(int(rank>>bandShift), bands-1)]++
	t.offered++
}

// rank returns the lowest rank worth sending; the most important class is never kept away.
func (t *threshold) rank() call.Rank {
	return min(call.Rank(t.band)<<bandShift, call.ClassVital.MinRank())
}

// roll closes the window when it is time: it opens while there are free slots, closes under pressure, and else stays.
func (t *threshold) roll(now time.Time) {
	if t.start.IsZero() {
		t.start = now
	}
	span := now.Sub(t.start)
	if span < thresholdWindow {
		return
	}
	t.ended = t.ended*memory + float64(t.finished)
	room := float64(t.instant) >= instantShare*float64(t.offered)
	pressed := float64(t.pressed) > pressureShare*float64(t.offered)
	switch {
	case room:
		t.lower(span)
	case pressed:
		t.raise()
	}
	for i := range t.arrived {
		t.arrived[i] *= memory
	}
	t.start = now
	t.offered, t.finished, t.pressed, t.instant = 0, 0, 0, 0
}

// raise cuts the arrivals down to little more than what ends.
func (t *threshold) raise() {
	room := t.ended * headroom
	band := bands - 1
	for band > t.band {
		room -= t.arrived[band]
		if room < 0 {
			break
		}
		band--
	}
	t.band = max(t.band, band)
	t.step = firstStep
}

// lower opens in growing steps while there is room.
func (t *threshold) lower(span time.Duration) {
	for ; span >= thresholdWindow && t.band > 0; span -= thresholdWindow {
		t.band = max(t.band-max(t.step, firstStep), 0)
		t.step = max(t.step, firstStep) * 2
	}
}
