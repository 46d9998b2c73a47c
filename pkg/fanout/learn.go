package fanout

import (
	"math"
	"slices"
)

const (
	// forgetting is the weight that a window keeps when the next one closes.
	forgetting = 0.98
	// varianceFirst is the variance of an estimate of which nothing is known, in calls squared.
	varianceFirst = 4.0
	// varianceMost bounds the variance, which would grow without end for routes that are no longer executed.
	varianceMost = 100.0
	// callsMost bounds the calls of one kind that an execution is believed to make.
	callsMost = 64.0
	// leastCalls is the estimate below which a route counts as not called.
	leastCalls = 0.3
	// certainty is the number of standard deviations by which an estimate must stand off from zero.
	certainty = 3.0
	// noiseShare is the weight of one window in the variance of what the estimates miss.
	noiseShare = 0.1
	// windowsLeast is the number of windows after which it is known which routes are called.
	windowsLeast = 4
	// routesMost bounds the executed routes that are told apart.
	routesMost = 16
)

// Estimator estimates the calls per execution for each pair of an executed and a called route.
//
// Each window gives one equation for each called route: calls = sum over the executed routes of executions times calls each.
// Recursive least squares with forgetting solve them, which tells routes apart that are executed at very different rates.
// Its owner serialises calls.
type Estimator struct {
	routes     []string
	executed   []float64
	covariance [][]float64
	called     map[string]float64
	weights    map[string][]float64
	// noise is the variance of the calls that the estimates miss in a window.
	noise map[string]float64
	// windows counts for each executed route the windows in which it was executed.
	windows []int
}

// NewEstimator returns a learner that knows nothing yet.
func NewEstimator() *Estimator {
	return &Estimator{called: map[string]float64{}, weights: map[string][]float64{}, noise: map[string]float64{}}
}

// CountExecution counts one execution of a route in the present window.
func (l *Estimator) CountExecution(route string) {
	place := slices.Index(l.routes, route)
	if place < 0 {
		if len(l.routes) >= routesMost {
			l.reset()
		}
		place = l.add(route)
	}
	l.executed[place]++
}

// add makes room for a route of which nothing is known.
func (l *Estimator) add(route string) int {
	l.routes = append(l.routes, route)
	l.executed = append(l.executed, 0)
	l.windows = append(l.windows, 0)
	size := len(l.routes)
	for i := range l.covariance {
		l.covariance[i] = append(l.covariance[i], 0)
	}
	l.covariance = append(l.covariance, make([]float64, size))
	l.covariance[size-1][size-1] = varianceFirst
	for called := range l.weights {
		l.weights[called] = append(l.weights[called], 0)
	}

	return size - 1
}

// reset forgets everything, as when the operators have replaced many routes.
func (l *Estimator) reset() {
	l.routes, l.executed, l.windows, l.covariance = nil, nil, nil, nil
	clear(l.weights)
	clear(l.called)
	clear(l.noise)
}

// CountCall counts one call that the backend server made in the present window.
func (l *Estimator) CountCall(route string) {
	l.called[route]++
	if _, known := l.weights[route]; !known {
		l.weights[route] = make([]float64, len(l.routes))
	}
}

// Calls returns the estimate of calls of one route per execution of another.
func (l *Estimator) Calls(executed, called string) float64 {
	place := slices.Index(l.routes, executed)
	weights := l.weights[called]
	if place < 0 || place >= len(weights) {
		return 0
	}

	return min(max(weights[place], 0), callsMost)
}

// Ready reports whether an executed route was seen for long enough to tell which routes it calls.
func (l *Estimator) Ready(executed string) bool {
	place := slices.Index(l.routes, executed)

	return place >= 0 && l.windows[place] >= windowsLeast
}

// Callees returns the called routes with their estimates for one executed route, those that may be none left out.
func (l *Estimator) Callees(executed string) map[string]float64 {
	found := map[string]float64{}
	place := slices.Index(l.routes, executed)
	if place < 0 {
		return found
	}
	for called := range l.weights {
		calls := l.Calls(executed, called)
		deviation := math.Sqrt(l.noise[called] * l.covariance[place][place])
		if calls >= leastCalls && calls >= certainty*deviation {
			found[called] = calls
		}
	}

	return found
}

// CloseWindow ends the window and learns from it.
func (l *Estimator) CloseWindow() {
	gain, norm := l.gain()
	if norm > 0 {
		for called, weights := range l.weights {
			missed := l.called[called] - dot(weights, l.executed)
			for i := range weights {
				weights[i] += gain[i] * missed
			}
			left := l.called[called] - dot(weights, l.executed)
			l.noise[called] += noiseShare * (left*left - l.noise[called])
		}
		l.trust(gain)
	}
	clear(l.executed)
	clear(l.called)
}

// gain returns how far each estimate follows the error of this window, and the square of the window's executions.
func (l *Estimator) gain() (gain []float64, norm float64) {
	gain = make([]float64, len(l.routes))
	scale := forgetting
	for i := range l.routes {
		gain[i] = dot(l.covariance[i], l.executed)
		scale += gain[i] * l.executed[i]
		norm += l.executed[i] * l.executed[i]
		if l.executed[i] > 0 {
			l.windows[i]++
		}
	}
	for i := range gain {
		gain[i] /= scale
	}

	return gain, norm
}

// trust lowers the variance in the directions that the window has measured, and raises it by what is forgotten.
func (l *Estimator) trust(gain []float64) {
	along := make([]float64, len(l.routes))
	for i := range l.routes {
		along[i] = dot(l.covariance[i], l.executed)
	}
	for i := range l.covariance {
		for j := range l.covariance[i] {
			l.covariance[i][j] = (l.covariance[i][j] - gain[i]*along[j]) / forgetting
		}
	}
	for i := range l.covariance {
		if l.covariance[i][i] > varianceMost {
			l.limitVariance(i)
		}
	}
}

// limitVariance scales one route's row and column down to the most variance allowed.
func (l *Estimator) limitVariance(place int) {
	factor := math.Sqrt(varianceMost / l.covariance[place][place])
	for j := range l.covariance {
		l.covariance[place][j] *= factor
		l.covariance[j][place] *= factor
	}
}

func dot(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}

	return sum
}
