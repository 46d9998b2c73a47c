package admit

import (
	"math"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const (
	// holdTimeGain is the weight of a new sample in the moving averages.
	holdTimeGain = 0.1
	// vitalPeakDecay is the factor by which the peak decays in each threshold window.
	vitalPeakDecay = 0.97
	// maxVitalWaitShare is the share of its remaining time that a vital call may wait for the next free slot.
	maxVitalWaitShare = 0.125
)

// reserve keeps slots free for the vital class when the slots held by other classes are released too rarely.
type reserve struct {
	// meanHoldTime is the moving average of how long calls of the other classes hold a slot.
	meanHoldTime time.Duration
	// vitalCalls counts the vital calls that run or wait, vitalRunning those that run. vitalPeak is the recent maximum of
	// vitalCalls.
	vitalCalls   int
	vitalRunning int
	vitalPeak    float64
	// meanTimeLeft is the moving average of the time to the deadline at which vital calls arrive.
	meanTimeLeft time.Duration
}

// enter records an item that was accepted with that time left to its deadline.
func (r *reserve) enter(item *Item, left time.Duration) {
	if item.Rank.Class() == call.ClassVital {
		r.meanTimeLeft += time.Duration(holdTimeGain * float64(left-r.meanTimeLeft))
		r.vitalCalls++
		r.vitalPeak = max(r.vitalPeak, float64(r.vitalCalls))
	}
}

// leave records that an item ended or left the queue.
func (r *reserve) leave(item *Item) {
	if item.Rank.Class() == call.ClassVital {
		r.vitalCalls--
	}
}

// start records that an item got a slot.
func (r *reserve) start(item *Item) {
	if item.Rank.Class() == call.ClassVital {
		r.vitalRunning++
	}
}

// stop records that an item released its slot.
func (r *reserve) stop(item *Item) {
	if item.Rank.Class() == call.ClassVital {
		r.vitalRunning--
	}
}

// observeHold records how long an item of another class held its slot.
func (r *reserve) observeHold(item *Item, took time.Duration) {
	if item.Rank.Class() != call.ClassVital {
		r.meanHoldTime += time.Duration(holdTimeGain * float64(took-r.meanHoldTime))
	}
}

// decay reduces the peak after the given number of threshold windows, so that an unused reserve shrinks.
func (r *reserve) decay(windows time.Duration) {
	r.vitalPeak *= math.Pow(vitalPeakDecay, float64(windows))
}

// reservedSlots returns how many free slots the item must leave to vital calls, zero if the next slot is expected to become
// free soon enough for them.
func (r *reserve) reservedSlots(item *Item, limit int) int {
	if item.Rank.Class() == call.ClassVital || limit < 2 {
		return 0
	}
	releaseInterval := r.meanHoldTime / time.Duration(limit)
	if r.vitalPeak < 0.5 || float64(releaseInterval) < maxVitalWaitShare*float64(r.meanTimeLeft) {
		return 0
	}
	maxReserved := min(int(math.Ceil(r.vitalPeak)), limit/2)

	return max(maxReserved-r.vitalRunning, 0)
}
