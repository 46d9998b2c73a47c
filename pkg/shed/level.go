package shed

import (
	"math"
	"time"
)

// Controller moves the admission level of one backend server with its load; its owner serialises calls.
//
// The level is the share of all demand, in the order of importance, that the server can take: 1 admits everything, 0 nothing.
// As the load follows the level in proportion, but only after call trees that were admitted before have ended, the level is
// scaled by the ratio of the wanted load to the one predicted from it (a Smith predictor). It is averaged with what the callers
// believe, so that the servers of one service, each with a load of its own, settle on one level.
type Controller struct {
	level float64
	// lagged is the level that the present load answers to.
	lagged float64
	load   float64
	at     time.Time
	heard  time.Time
}

const (
	// loadGoal is the share of the slots that is kept busy under overload; waiting calls count on top of the slots.
	loadGoal = 0.85
	// loadMemory is the time constant of the smoothed load.
	loadMemory = 150 * time.Millisecond
	// pace is the time in which a load that is off its goal by itself changes the level by a factor of e.
	pace = 600 * time.Millisecond
	// treeTime is about what call trees take from their admission to their last call under overload.
	treeTime = 800 * time.Millisecond
	// loadLeast bounds the pace at which the level of an idle server rises.
	loadLeast = 0.3
	// levelLeast is the level from which an overloaded service recovers.
	levelLeast = 0.01
	// beliefMemory is the time constant with which the level follows what the callers believe.
	beliefMemory = 300 * time.Millisecond
)

// NewController returns a controller that admits everything.
func NewController(now time.Time) *Controller {
	return &Controller{level: 1, lagged: 1, at: now, heard: now}
}

// Observe takes the present load, calls that run or wait per slot.
func (c *Controller) Observe(now time.Time, load float64) {
	passed := now.Sub(c.at)
	if passed <= 0 {
		return
	}
	c.at = now
	c.load += follow(passed, loadMemory) * (load - c.load)
	predicted := c.load * c.level / c.lagged
	off := (loadGoal - predicted) / max(predicted, loadLeast)
	c.level = clamp(c.level * math.Exp(off*float64(passed)/float64(pace)))
	c.lagged += follow(passed, treeTime) * (c.level - c.lagged)
}

// Heed takes the level of the server's service as a caller believes it.
func (c *Controller) Heed(now time.Time, belief float64) {
	passed := now.Sub(c.heard)
	if passed <= 0 {
		return
	}
	c.heard = now
	c.level += follow(passed, beliefMemory) * (clamp(belief) - c.level)
}

// Level returns the admission level.
func (c *Controller) Level() float64 {
	return c.level
}

// Load returns the smoothed load.
func (c *Controller) Load() float64 {
	return c.load
}

// follow returns the share by which a mean with that memory moves to a value that held for the time passed.
func follow(passed, memory time.Duration) float64 {
	return 1 - math.Exp(-float64(passed)/float64(memory))
}

func clamp(level float64) float64 {
	return min(max(level, levelLeast), 1)
}
