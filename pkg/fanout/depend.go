package fanout

const (
	// minExpectedFailures is the number of executions that must be expected to fail before their success counts.
	minExpectedFailures = 10
	// maxObservedShare is the share of the expected failures up to which a route counts as independent of the calls.
	maxObservedShare = 0.3
	// dependenceDecay is the factor by which counts decrease with each window in which calls fail.
	dependenceDecay = 0.98
)

// dependence compares the failed executions of a route with those that would fail if each of them made one of the calls that fail.
type dependence struct {
	expected, observed float64
}

// independent reports whether executions evidently succeed whether the calls fail or not.
func (d dependence) independent() bool {
	return d.expected >= minExpectedFailures && d.observed < maxObservedShare*d.expected
}

// ends counts the executions of a route that have ended in a window.
type ends struct {
	total, failed float64
}

// observeDependence compares the ends of the current window with the share of its calls that failed.
func (e *Estimator) observeDependence() {
	for called, failures := range e.failures {
		failedShare := failures / max(e.calls[called], failures)
		if failedShare <= maxFailedShare {
			continue
		}
		routes := e.dependences[called]
		if routes == nil {
			routes = map[string]dependence{}
			e.dependences[called] = routes
		}
		for route, ended := range e.ends {
			d := routes[route]
			routes[route] = dependence{
				expected: dependenceDecay*d.expected + failedShare*ended.total,
				observed: dependenceDecay*d.observed + ended.failed,
			}
		}
	}
}

// independent reports whether an executed route does without a called one. The estimates of the others are less certain the less often the
// route is executed, and may give it calls that others make.
func (e *Estimator) independent(called string, index int) bool {
	return e.dependences[called][e.routes[index]].independent()
}

// excludeIndependent sets the calls of independent routes to zero, and those of the others to what the windows then show for them.
func (e *Estimator) excludeIndependent(called string, coefficients []float64) {
	for i, calls := range coefficients {
		if calls == 0 || e.covariance[i][i] <= 0 || !e.independent(called, i) {
			continue
		}
		for j := range coefficients {
			coefficients[j] -= e.covariance[j][i] / e.covariance[i][i] * calls
		}
		coefficients[i] = 0
	}
}
