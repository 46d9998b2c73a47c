package shed

import (
	"math"
	"time"
)

// Controller adjusts the admission level of one backend server to its load. It is not safe for concurrent use.
//
// The level is the share of the demand, in the order of importance, that the server can take: 1 admits everything, 0 nothing.
// Controller is a proportional-integral controller. Its integral part is averaged with the estimates of the callers, so that the
// servers of one service converge to one level although their loads differ.
type Controller struct {
	integral   float64
	load       float64
	observedAt time.Time
	averagedAt time.Time
}

const (
	// loadSetpoint is the load that the controller aims for under overload: running and waiting calls per slot.
	loadSetpoint = 0.9
	// loadSmoothingTime is the time constant of the moving average of the load.
	loadSmoothingTime = 30 * time.Millisecond
	// fallGain and riseGain are the integral gains above and below the setpoint, in level per second and unit of load error.
	fallGain = 0.15
	riseGain = 0.5
	// proportionalGain is how far the level is lowered at once per unit of load above the setpoint.
	proportionalGain = 0.4
	// maxLoadError bounds the load error that the level follows, because call trees that are already admitted keep the load up for a
	// second or two.
	maxLoadError = 0.6
	// averagingTime is the time constant with which the integral part follows the estimates of the callers.
	averagingTime = 400 * time.Millisecond
)

// NewController returns a controller whose level is 1.
func NewController(now time.Time) *Controller {
	return &Controller{integral: 1, observedAt: now, averagedAt: now}
}

// Resume sets the integral part to the level that the server had before its node restarted.
func (c *Controller) Resume(level float64) {
	c.integral = clamp(level)
}

// Observe updates the level with the current load, which is the number of running and waiting calls per slot.
func (c *Controller) Observe(now time.Time, load float64) {
	elapsed := now.Sub(c.observedAt)
	if elapsed <= 0 {
		return
	}
	c.observedAt = now
	c.load += smoothingWeight(elapsed, loadSmoothingTime) * (load - c.load)
	gain := riseGain
	if c.loadError() < 0 {
		gain = fallGain
	}
	c.integral = clamp(c.integral + gain*c.loadError()*elapsed.Seconds())
}

// AverageWith moves the integral part towards a caller's estimate of the level of the server's service.
func (c *Controller) AverageWith(now time.Time, estimate float64) {
	elapsed := now.Sub(c.averagedAt)
	if elapsed <= 0 {
		return
	}
	c.averagedAt = now
	c.integral += smoothingWeight(elapsed, averagingTime) * (clamp(estimate) - c.integral)
}

// Level returns the admission level, from 0 to 1.
func (c *Controller) Level() float64 {
	return clamp(c.integral + proportionalGain*min(c.loadError(), 0))
}

// Integral returns the integral part of the level, which callers pass on to the other servers of the service for averaging.
func (c *Controller) Integral() float64 {
	return c.integral
}

// Load returns the moving average of the load.
func (c *Controller) Load() float64 {
	return c.load
}

// loadError returns how far the load is below the setpoint, within the bounds of maxLoadError.
func (c *Controller) loadError() float64 {
	return min(max(loadSetpoint-c.load, -maxLoadError), maxLoadError)
}

// smoothingWeight returns the weight of a new value in an exponential moving average, given the time since the last value.
func smoothingWeight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(timeConstant))
}

func clamp(level float64) float64 {
	return min(max(level, 0), 1)
}
