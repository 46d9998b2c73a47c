package shed

import "time"

// Controller moves the admission level of one backend server with its load; its owner serialises calls.
//
// The level is the share of all demand, in the order of importance, that the server can take: 1 admits everything, 0 nothing.
type Controller struct {
	level float64
	load  float64
	at    time.Time
}

const (
	// loadGoal is the share of the slots that is kept busy under overload; waiting calls count on top of the slots.
	loadGoal = 0.85
	// loadMemory is the time constant of the smoothed load.
	loadMemory = 150 * time.Millisecond
	// fallRate and riseRate are how fast the level follows, per second and unit of load off the goal.
	fallRate = 0.9
	riseRate = 0.5
	// errorMost bounds the load error that the level follows.
	errorMost = 1.0
)

// NewController returns a controller that admits everything.
func NewController(now time.Time) *Controller {
	return &Controller{level: 1, at: now}
}

// Observe takes the present load, calls that run or wait per slot, and returns the level.
func (c *Controller) Observe(now time.Time, load float64) float64 {
	passed := now.Sub(c.at)
	if passed <= 0 {
		return c.level
	}
	c.at = now
	share := min(float64(passed)/float64(loadMemory), 1)
	c.load += share * (load - c.load)
	off := min(max(loadGoal-c.load, -errorMost), errorMost)
	rate := riseRate
	if off < 0 {
		rate = fallRate
	}
	c.level = min(max(c.level+rate*off*passed.Seconds(), 0), 1)

	return c.level
}

// Level returns the admission level.
func (c *Controller) Level() float64 {
	return c.level
}

// Load returns the smoothed load.
func (c *Controller) Load() float64 {
	return c.load
}
