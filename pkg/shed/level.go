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
	loadGoal = 0.85
	// loadMemory is the time constant of the smoothed load.
	loadMemory = 150 * time.Millisecond
	// integralRate is how fast the level follows, per second and unit of load off the goal.
	integralRate = 0.25
	// proportion is how far the level is lowered at once per unit of load above the goal.
	proportion = 0.25
	// errorMost bounds the load error that the level follows.
	errorMost = 1.0
	// beliefMemory is the time constant with which the level follows what the callers believe.
	beliefMemory = 400 * time.Millisecond
)

// NewController returns a controller that admits everything.
func NewController(now time.Time) *Controller {
	return &Controller{integral: 1, at: now, heard: now}
}

// Observe takes the present load, calls that run or wait per slot.
func (c *Controller) Observe(now time.Time, load float64) {
	passed := now.Sub(c.at)
	if passed <= 0 {
		return
	}
	c.at = now
	c.load += (1 - math.Exp(-float64(passed)/float64(loadMemory))) * (load - c.load)
	c.integral = clamp(c.integral + integralRate*c.off()*passed.Seconds())
}

// Heed takes the level of the server's service as a caller believes it.
func (c *Controller) Heed(now time.Time, belief float64) {
	passed := now.Sub(c.heard)
	if passed <= 0 {
		return
	}
	c.heard = now
	c.integral += (1 - math.Exp(-float64(passed)/float64(beliefMemory))) * (clamp(belief) - c.integral)
}

// Level returns the admission level.
func (c *Controller) Level() float64 {
	return clamp(c.integral + proportion*min(c.off(), 0))
}

// Belief returns the level without its passing part, for others to average with their own.
func (c *Controller) Belief() float64 {
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

func clamp(level float64) float64 {
	return min(max(level, 0), 1)
}
