package limit

import "time"

// Result classifies the end of one execution by what it says about the capacity of the backend server.
type Result uint8

// Results of an execution.
const (
	// ResultOK is a response in time.
	ResultOK Result = iota
	// ResultError is an error that is unrelated to load.
	ResultError
	// ResultShed is a refusal by the backend server because of its load.
	ResultShed
	// ResultDeadlineExceeded is an execution that was ended by its deadline.
	ResultDeadlineExceeded
)

// Sample is one finished execution.
type Sample struct {
	Kind    string
	Latency time.Duration
	// Inflight is the number of running executions when this one started, including itself.
	Inflight int
	Result   Result
}

const (
	// A window is complete after minWindowDuration if it has enough samples, at the latest after maxWindowDuration.
	minWindowDuration = 100 * time.Millisecond
	maxWindowDuration = time.Second
	minWindowSamples  = 10
	// minTrialSamples replaces minWindowSamples in a trial, where the throughput is compared.
	minTrialSamples = 50
)

// window holds the sums of the samples of a short interval.
type window struct {
	start time.Time
	// samples counts all executions; ok, shed and late count those with that result.
	samples int
	ok      int
	shed    int
	late    int
	// totalLatency is the sum of the latencies, totalBaseline the sum of the baselines of the same timedSamples samples.
	totalLatency  time.Duration
	totalBaseline time.Duration
	timedSamples  int
	maxInflight   int
	// minShedInflight is the lowest concurrency at which the backend server shed load.
	minShedInflight int
}

// add adds a sample with the baseline of its kind.
func (w *window) add(s Sample, baseline time.Duration) {
	w.samples++
	w.maxInflight = max(w.maxInflight, s.Inflight)
	switch s.Result {
	case ResultOK:
		w.ok++
		w.addLatency(s.Latency, baseline)
	case ResultDeadlineExceeded:
		w.late++
		w.addLatency(s.Latency, baseline)
	case ResultShed:
		if w.shed == 0 || s.Inflight < w.minShedInflight {
			w.minShedInflight = s.Inflight
		}
		w.shed++
	case ResultError:
	}
}

// addLatency adds a latency with its baseline.
func (w *window) addLatency(latency, baseline time.Duration) {
	w.totalLatency += latency
	w.totalBaseline += baseline
	w.timedSamples++
}

// complete reports whether the window holds enough samples or is long enough to be evaluated.
func (w *window) complete(now time.Time, trial bool) bool {
	age := now.Sub(w.start)
	required := minWindowSamples
	if trial {
		required = minTrialSamples
	}

	return age >= maxWindowDuration || age >= minWindowDuration && w.samples >= required
}

// meanLatency returns the mean latency, zero if no sample was timed.
func (w *window) meanLatency() time.Duration {
	if w.timedSamples == 0 {
		return 0
	}

	return w.totalLatency / time.Duration(w.timedSamples)
}

// slowness returns the latency as a multiple of the baseline of the same kinds, zero if no sample was timed.
func (w *window) slowness() float64 {
	if w.totalBaseline <= 0 {
		return 0
	}

	return float64(w.totalLatency) / float64(w.totalBaseline)
}

// throughput returns the number of successful executions per second.
func (w *window) throughput(now time.Time) float64 {
	age := now.Sub(w.start).Seconds()
	if age <= 0 {
		return 0
	}

	return float64(w.ok) / age
}
