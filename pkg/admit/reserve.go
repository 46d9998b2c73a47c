package admit

import (
	"math"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const (
	holdGain      = 0.1
	reserveAgeing = 0.97
	// reserveWait is the part of its time that a call of the most important class may wait for the next free slot.
	reserveWait = 0.125
)

// reserve keeps slots for the most important class where those that others hold come free too seldom.
type reserve struct {
	// hold is how long calls of the other classes hold a slot, on average.
	hold time.Duration
	// open counts the most important calls that run or wait, running those that run, peak the recent most.
	open    int
	running int
	peak    float64
	// left is the time that they have when they come, on average.
	left time.Duration
}

func (r *reserve) enter(item *Item, left time.Duration) {
	if item.Rank.Class() == call.ClassVital {
		r.left += time.Duration(holdGain * float64(left-r.left))
		r.open++
		r.peak = max(r.peak, float64(r.open))
	}
}

func (r *reserve) leave(item *Item) {
	if item.Rank.Class() == call.ClassVital {
		r.open--
	}
}

func (r *reserve) start(item *Item) {
	if item.Rank.Class() == call.ClassVital {
		r.running++
	}
}

func (r *reserve) stop(item *Item) {
	if item.Rank.Class() == call.ClassVital {
		r.running--
	}
}

// ended follows how long the others hold their slots.
func (r *reserve) ended(item *Item, took time.Duration) {
	if item.Rank.Class() != call.ClassVital {
		r.hold += time.Duration(holdGain * float64(took-r.hold))
	}
}

// age lets the reserve shrink while nobody uses it.
func (r *reserve) age(windows time.Duration) {
	r.peak *= math.Pow(reserveAgeing, float64(windows))
}

// kept returns how many of the free slots the item has to leave, none where the next comes free soon enough.
func (r *reserve) kept(item *Item, limit int) int {
	if item.Rank.Class() == call.ClassVital || limit < 2 {
		return 0
	}
	next := r.hold / time.Duration(limit)
	if r.peak < 0.5 || float64(next) < reserveWait*float64(r.left) {
		return 0
	}
	most := min(int(math.Ceil(r.peak)), limit/2)

	return max(most-r.running, 0)
}
