package limit

import "time"

// Result says what the end of one execution tells about the backend server's capacity.
type Result uint8

// Verdicts of an execution.
const (
	// ResultOK is an answer in time.
	ResultOK Result = iota
	// ResultError is an error that says nothing about load.
	ResultError
	// ResultShed is the backend server's own refusal under load.
	ResultShed
	// ResultDeadlineExceeded is an execution that the deadline ended.
	ResultDeadlineExceeded
)

// Sample is one finished execution.
type Sample struct {
	Kind    string
	Latency time.Duration
	// Inflight is the number of executions that ran when this one began, itself included.
	Inflight int
	Result   Result
}

const (
	windowTime    = 100 * time.Millisecond
	windowMaxTime = time.Second
	windowSamples = 10
	trialSamples  = 50
)

// window sums up the samples of a short span.
type window struct {
	start       time.Time
	samples     int
	ok          int
	shed        int
	late        int
	latency     time.Duration
	expected    time.Duration
	timed       int
	maxInflight int
	// shedInflight is the lowest concurrency at which the backend server shed.
	shedInflight int
}

func (w *window) add(s Sample, base time.Duration) {
	w.samples++
	w.maxInflight = max(w.maxInflight, s.Inflight)
	switch s.Result {
	case ResultOK:
		w.ok++
		w.time(s.Latency, base)
	case ResultDeadlineExceeded:
		w.late++
		w.time(s.Latency, base)
	case ResultShed:
		if w.shed == 0 || s.Inflight < w.shedInflight {
			w.shedInflight = s.Inflight
		}
		w.shed++
	case ResultError:
	}
}

func (w *window) time(latency, base time.Duration) {
	w.latency += latency
	w.expected += base
	w.timed++
}

// full reports whether the window holds enough to judge by, which is more for a trial.
func (w *window) full(now time.Time, trial bool) bool {
	age := now.Sub(w.start)
	need := windowSamples
	if trial {
		need = trialSamples
	}

	return age >= windowMaxTime || age >= windowTime && w.samples >= need
}

// mean returns the mean latency, zero if nothing was timed.
func (w *window) mean() time.Duration {
	if w.timed == 0 {
		return 0
	}

	return w.latency / time.Duration(w.timed)
}

// slowness returns the latency as a multiple of what the same kinds take without contention, zero if nothing was timed.
func (w *window) slowness() float64 {
	if w.expected <= 0 {
		return 0
	}

	return float64(w.latency) / float64(w.expected)
}

// rate returns the good answers per second.
func (w *window) rate(now time.Time) float64 {
	age := now.Sub(w.start).Seconds()
	if age <= 0 {
		return 0
	}

	return float64(w.ok) / age
}
