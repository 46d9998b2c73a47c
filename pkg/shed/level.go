package shed

import (
	"math"
	"time"
)

// Controller moves the admission level of one backend server with its load; its owner serialises calls.
//
// The level is the share of all demand, in the order of importance, that the server can take: 1 admits everything, 0 nothing.
// It is a proportional-integral controller; the integral part is averaged with what the callers believe, so that the servers
// of one service, each with a load of its own, settle on one level.
type Controller struct {
	integral float64
	load     float64
	at       time.Time
	heard    time.Time
}

const (
	// loadGoal is the share of the slots that is kept busy under overload; waiting calls count on top of the slots.
	loadGoal = 0.9
	// loadMemory is the time constant of the smoothed load.
	loadMemory = 30 * time.Millisecond
	// fallRate and riseRate are how fast the level follows, per second and unit of load off the goal.
	fallRate = 0.15
	riseRate = 0.5
	// proportion is how far the level is lowered at once per unit of load above the goal.
	proportion = 0.4
	// errorMost bounds the load error that the level follows, as call trees that were admitted before keep the load up for a
	// second or two.
	errorMost = 0.6
	// beliefMemory is the time constant with which the level follows what the callers believe.
	beliefMemory = 400 * time.Millisecond
)

// NewController returns a controller that admits everything.
func NewController(now time.Time) *Controller {
	return &Controller{integral: 1, at: now, heard: now}
}

// Resume goes on from the level that the server had before its node was restarted.
func (c *Controller) Resume(level float64) {
	c.integral = clamp(level)
}

// Observe takes the present load, calls that run or wait per slot.
func (c *Controller) Observe(now time.Time, load float64) {
	passed := now.Sub(c.at)
	if passed <= 0 {
		return
	}
	c.at = now
	c.load += follow(passed, loadMemory) * (load - c.load)
	rate := riseRate
	if c.off() < 0 {
		rate = fallRate
	}
	c.integral = clamp(c.integral + rate*c.off()*passed.Seconds())
}

// AverageWith takes the level of the server's service as a caller believes it.
func (c *Controller) AverageWith(now time.Time, belief float64) {
	passed := now.Sub(c.heard)
	if passed <= 0 {
		return
	}
	c.heard = now
	c.integral += follow(passed, beliefMemory) * (clamp(belief) - c.integral)
}

// Level returns the admission level.
func (c *Controller) Level() float64 {
	return clamp(c.integral + proportion*min(c.off(), 0))
}

// Integral returns the level without its passing part, for others to average with their own.
func (c *Controller) Integral() float64 {
	return c.integral
}

// Load returns the smoothed load.
func (c *Controller) Load() float64 {
	return c.load
}

// off returns how far the load is below the goal.
func (c *Controller) off() float64 {
	return min(max(loadGoal-c.load, -errorMost), errorMost)
}

// follow returns the share by which a mean with that memory moves to a value that held for the time passed.
func follow(passed, memory time.Duration) float64 {
	return 1 - math.Exp(-float64(passed)/float64(memory))
}

func clamp(level float64) float64 {
	return min(max(level, 0), 1)
}
