package fanout

import (
	"math"
	"slices"
)

const (
	// forgettingFactor is the factor by which the weight of past windows decreases with each window in which a route is executed.
	forgettingFactor = 0.98
	// initialVariance is the variance of the estimate for a new route, in calls squared.
	initialVariance = 4.0
	// maxVariance bounds the variance of an estimate, which would otherwise grow without limit for routes that are only executed together.
	maxVariance = 100.0
	// maxEstimate bounds the estimated calls to one route per execution.
	maxEstimate = 64.0
	// minEstimate is the estimate of calls per execution below which a route counts as not called.
	minEstimate = 0.3
	// minSignificance is the number of standard deviations by which an estimate must exceed zero.
	minSignificance = 3.0
	// errorVarianceWeight is the weight of the latest window in the variance of the estimation error.
	errorVarianceWeight = 0.1
	// minWindows is the number of windows that a route must have been executed in, and minExecutions the number of its executions in
	// them, before its estimates are used.
	minWindows    = 4
	minExecutions = 20
	// maxFailedShare is the share of failed calls above which windows say little about whole executions: one that fails ends before it
	// has made all its calls.
	maxFailedShare = 0.05
	// failedShareWeight is the weight of the latest window in the share of failed calls.
	failedShareWeight = 0.5
	// maxRoutes bounds the executed routes that are tracked.
	maxRoutes = 16
)

// Estimator estimates the number of calls per execution for each pair of an executed and a called route.
//
// Each window gives one linear equation per called route: its calls are the sum over the executed routes of executions times calls per
// execution. The equations are solved by recursive least squares with a forgetting factor, which separates routes even if they are
// executed at very different rates. It is not safe for concurrent use.
type Estimator struct {
	// routes lists the executed routes; executions, covariance and windows have the same indices.
	routes     []string
	executions []float64
	covariance [][]float64
	// calls holds the calls to each called route in the current window.
	calls map[string]float64
	// coefficients holds for each called route the estimated calls per execution of each executed route.
	coefficients map[string][]float64
	// errorVariance holds for each called route the variance of the estimation error of its calls in a window.
	errorVariance map[string]float64
	// windows holds for each executed route the number of windows in which it was executed.
	windows []int
	// executed holds for each executed route the number of its executions in closed windows.
	executed []float64
	// failures holds the failed calls to each called route in the current window, and ends the ended executions of each executed route.
	failures map[string]float64
	ends     map[string]ends
	// failedShare is the moving average of the share of failed calls.
	failedShare float64
	// dependences holds for each called route how the executed routes depend on it.
	dependences map[string]map[string]dependence
	// whole holds the significant coefficients from before most executions began to fail, nil while few do. Estimates are at least as
	// high until they stop failing.
	whole map[string][]float64
}

// NewEstimator returns an estimator without data.
func NewEstimator() *Estimator {
	return &Estimator{
		calls: map[string]float64{}, coefficients: map[string][]float64{}, errorVariance: map[string]float64{},
		failures: map[string]float64{}, ends: map[string]ends{}, dependences: map[string]map[string]dependence{},
	}
}

// CountExecution counts one execution of a route in the current window.
func (e *Estimator) CountExecution(route string) {
	index := slices.Index(e.routes, route)
	if index < 0 {
		if len(e.routes) >= maxRoutes {
			e.reset()
		}
		index = e.addRoute(route)
	}
	e.executions[index]++
}

// addRoute adds an executed route without data and returns its index.
func (e *Estimator) addRoute(route string) int {
	e.routes = append(e.routes, route)
	e.executions = append(e.executions, 0)
	e.windows = append(e.windows, 0)
	e.executed = append(e.executed, 0)
	size := len(e.routes)
	for i := range e.covariance {
		e.covariance[i] = append(e.covariance[i], 0)
	}
	e.covariance = append(e.covariance, make([]float64, size))
	e.covariance[size-1][size-1] = initialVariance
	for called := range e.coefficients {
		e.coefficients[called] = append(e.coefficients[called], 0)
	}

	return size - 1
}

// reset discards all data. It is called when there are more than maxRoutes routes, for example after operators replaced many of them.
func (e *Estimator) reset() {
	e.routes, e.executions, e.windows, e.executed, e.covariance = nil, nil, nil, nil, nil
	clear(e.coefficients)
	clear(e.calls)
	clear(e.errorVariance)
	clear(e.dependences)
	e.whole = nil
}

// CountCall counts one call that the backend server made to a route in the current window.
func (e *Estimator) CountCall(route string) {
	e.calls[route]++
	if _, found := e.coefficients[route]; !found {
		e.coefficients[route] = make([]float64, len(e.routes))
	}
}

// CountFailure counts a call by the backend server to a route that failed in the current window.
func (e *Estimator) CountFailure(called string) {
	e.failures[called]++
}

// CountEnd counts the end of an execution of a route in the current window, and whether the backend server responded with a failure.
func (e *Estimator) CountEnd(executed string, failed bool) {
	ended := e.ends[executed]
	ended.total++
	if failed {
		ended.failed++
	}
	e.ends[executed] = ended
}

// Calls returns the estimated number of calls to one route per execution of another.
func (e *Estimator) Calls(executed, called string) float64 {
	index := slices.Index(e.routes, executed)
	if index < 0 {
		return 0
	}

	return min(max(at(e.coefficients[called], index), e.wholeCalls(called, index), 0), maxEstimate)
}

// wholeCalls returns the calls of whole executions from before most of them began to fail, zero if few fail.
func (e *Estimator) wholeCalls(called string, index int) float64 {
	return at(e.whole[called], index)
}

// at returns the element at the index, zero if there is none.
func at(values []float64, index int) float64 {
	if index >= len(values) {
		return 0
	}

	return values[index]
}

// Ready reports whether a route was executed in enough windows for its estimates to be used.
func (e *Estimator) Ready(executed string) bool {
	index := slices.Index(e.routes, executed)

	return index >= 0 && e.windows[index] >= minWindows && e.executed[index] >= minExecutions
}

// Callees returns the routes that an executed route calls, with the calls per execution. Estimates that do not differ significantly
// from zero are left out.
func (e *Estimator) Callees(executed string) map[string]float64 {
	callees := map[string]float64{}
	index := slices.Index(e.routes, executed)
	if index < 0 {
		return callees
	}
	for called := range e.coefficients {
		if e.independent(called, index) {
			continue
		}
		if calls := e.Calls(executed, called); e.significant(called, index) || e.wholeCalls(called, index) > 0 {
			callees[called] = calls
		}
	}

	return callees
}

// significant reports whether the estimate for an executed and a called route differs from zero by more than its error.
func (e *Estimator) significant(called string, index int) bool {
	calls := at(e.coefficients[called], index)
	deviation := math.Sqrt(e.errorVariance[called] * e.covariance[index][index])

	return calls >= minEstimate && calls >= minSignificance*deviation
}

// CloseWindow updates the estimates with the counts of the current window and begins a new one. Executions that fail make fewer calls
// than whole ones: while many do, the estimates from before are kept as the lower bound, or their call trees would look light.
func (e *Estimator) CloseWindow() {
	e.observeDependence()
	e.updateFailedShare()
	e.forget()
	gain, squaredNorm := e.gain()
	if squaredNorm > 0 {
		for called, coefficients := range e.coefficients {
			priorError := e.calls[called] - dot(coefficients, e.executions)
			for i := range coefficients {
				coefficients[i] += gain[i] * priorError
			}
			posteriorError := e.calls[called] - dot(coefficients, e.executions)
			e.errorVariance[called] += errorVarianceWeight * (posteriorError*posteriorError - e.errorVariance[called])
		}
		e.updateCovariance(gain)
		for called, coefficients := range e.coefficients {
			e.excludeIndependent(called, coefficients)
		}
	}
	clear(e.executions)
	clear(e.calls)
	clear(e.failures)
	clear(e.ends)
}

// updateFailedShare adds the current window to the share of failed calls, and keeps or restores the estimates of whole executions when
// the share passes maxFailedShare.
func (e *Estimator) updateFailedShare() {
	calls, failures := sum(e.calls), sum(e.failures)
	if calls+failures == 0 {
		return
	}
	e.failedShare += failedShareWeight * (failures/max(calls, failures) - e.failedShare)
	switch failing := e.failedShare > maxFailedShare; {
	case failing && e.whole == nil:
		e.keepWhole()
	case !failing && e.whole != nil:
		e.restoreWhole()
	}
}

func sum(counts map[string]float64) float64 {
	total := 0.0
	for _, count := range counts {
		total += count
	}

	return total
}

// keepWhole keeps the significant estimates.
func (e *Estimator) keepWhole() {
	e.whole = map[string][]float64{}
	for called, coefficients := range e.coefficients {
		kept := make([]float64, len(coefficients))
		for i, calls := range coefficients {
			if e.significant(called, i) && !e.independent(called, i) {
				kept[i] = calls
			}
		}
		e.whole[called] = kept
	}
}

// restoreWhole raises the estimates to those that were kept.
func (e *Estimator) restoreWhole() {
	for called, kept := range e.whole {
		coefficients := e.coefficients[called]
		for i, calls := range kept {
			if !e.independent(called, i) {
				coefficients[i] = max(coefficients[i], calls)
			}
		}
	}
	e.whole = nil
}

// forget lowers the weight of past windows for the routes that were executed in the current one. What is known of the others stays as
// certain as it was: a route that is refused in an overload is executed rarely, and must not look as if it called nothing.
func (e *Estimator) forget() {
	factors := make([]float64, len(e.routes))
	for i, executions := range e.executions {
		factors[i] = 1
		if executions > 0 {
			factors[i] = math.Sqrt(forgettingFactor)
		}
	}
	for i := range e.covariance {
		for j := range e.covariance[i] {
			e.covariance[i][j] /= factors[i] * factors[j]
		}
	}
	for i := range e.covariance {
		if e.covariance[i][i] > maxVariance {
			e.limitVariance(i)
		}
	}
}

// gain returns the gain vector of the least squares update and the squared norm of the window's executions.
func (e *Estimator) gain() (gain []float64, squaredNorm float64) {
	gain = make([]float64, len(e.routes))
	scale := 1.0
	for i := range e.routes {
		gain[i] = dot(e.covariance[i], e.executions)
		scale += gain[i] * e.executions[i]
		squaredNorm += e.executions[i] * e.executions[i]
		if e.executions[i] > 0 {
			e.windows[i]++
			e.executed[i] += e.executions[i]
		}
	}
	for i := range gain {
		gain[i] /= scale
	}

	return gain, squaredNorm
}

// updateCovariance reduces the covariance by the information of the window and raises it by the forgetting factor.
func (e *Estimator) updateCovariance(gain []float64) {
	product := make([]float64, len(e.routes))
	for i := range e.routes {
		product[i] = dot(e.covariance[i], e.executions)
	}
	for i := range e.covariance {
		for j := range e.covariance[i] {
			e.covariance[i][j] -= gain[i] * product[j]
		}
	}
}

// limitVariance scales one route's row and column of the covariance so that its variance is maxVariance.
func (e *Estimator) limitVariance(index int) {
	factor := math.Sqrt(maxVariance / e.covariance[index][index])
	for j := range e.covariance {
		e.covariance[index][j] *= factor
		e.covariance[j][index] *= factor
	}
}

func dot(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}

	return sum
}
