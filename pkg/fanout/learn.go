package fanout

import "math"

const (
	// step is the share of the error that one window corrects.
	step = 0.3
	// regular keeps the correction of a window with few executions small.
	regular = 4.0
	// callsMost bounds the calls of one kind that an execution is believed to make.
	callsMost = 64.0
)

// Learner estimates the calls per execution for each pair of an executed and a called route.
//
// It is a normalised least-mean-squares filter: each window gives one equation, calls = sum of executions times calls each.
// Its owner serialises calls.
type Learner struct {
	executed map[string]float64
	called   map[string]float64
	weights  map[string]map[string]float64
}

// NewLearner returns a learner that knows nothing yet.
func NewLearner() *Learner {
	return &Learner{executed: map[string]float64{}, called: map[string]float64{}, weights: map[string]map[string]float64{}}
}

// Executed counts one execution of a route in the present window.
func (l *Learner) Executed(route string) {
	l.executed[route]++
}

// Called counts one call that the backend server made in the present window.
func (l *Learner) Called(route string) {
	l.called[route]++
	if _, known := l.weights[route]; !known {
		l.weights[route] = map[string]float64{}
	}
}

// Calls returns the estimate of calls of one route per execution of another.
func (l *Learner) Calls(executed, called string) float64 {
	return l.weights[called][executed]
}

// Callees returns the called routes with their estimates for one executed route.
func (l *Learner) Callees(executed string) map[string]float64 {
	found := map[string]float64{}
	for called, weights := range l.weights {
		if weights[executed] >= leastCalls {
			found[called] = weights[executed]
		}
	}

	return found
}

// leastCalls is the estimate below which a route counts as not called.
const leastCalls = 0.1

// Close ends the window and learns from it.
func (l *Learner) Close() {
	norm := regular
	for _, count := range l.executed {
		norm += count * count
	}
	for called, weights := range l.weights {
		expected := 0.0
		for executed, count := range l.executed {
			expected += weights[executed] * count
		}
		missed := l.called[called] - expected
		for executed, count := range l.executed {
			changed := weights[executed] + step*missed*count/norm
			weights[executed] = math.Min(math.Max(changed, 0), callsMost)
		}
	}
	clear(l.executed)
	clear(l.called)
}
