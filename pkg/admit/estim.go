package admit

import "time"

const (
	estimateGain   = 0.1
	estimateKinds  = 256
	estimateStale  = time.Second
	estimateSample = 5
)

// estimate follows the service time of one kind.
type estimate struct {
	mean    time.Duration
	spread  time.Duration
	samples int
	last    time.Time
}

func (e *estimate) add(now time.Time, took time.Duration) {
	e.last = now
	e.samples++
	if e.samples == 1 {
		e.mean = took

		return
	}
	off := took - e.mean
	e.mean += time.Duration(estimateGain * float64(off))
	e.spread += time.Duration(estimateGain * (float64(max(off, -off)) - float64(e.spread)))
}

// low returns a time that few executions undercut, and less the older the last sample is, so that one is tried again.
func (e *estimate) low(now time.Time) time.Duration {
	if e.samples < estimateSample {
		return 0
	}
	low := max(e.mean-2*e.spread, e.mean/2)
	age := now.Sub(e.last)
	if age > estimateStale {
		low = time.Duration(float64(low) * float64(estimateStale) / float64(age))
	}

	return low
}

// estimates holds one estimate for each kind, and one for all.
type estimates struct {
	kinds map[string]*estimate
	all   estimate
}

func newEstimates() *estimates {
	return &estimates{kinds: map[string]*estimate{}}
}

// learn takes an execution; one that was cut at its deadline only shows that the kind needs longer.
func (e *estimates) learn(now time.Time, kind string, took time.Duration, result Result) {
	if result == ResultOther {
		return
	}
	known, found := e.kinds[kind]
	if !found {
		if len(e.kinds) >= estimateKinds {
			e.kinds = map[string]*estimate{}
		}
		known = &estimate{}
		e.kinds[kind] = known
	}
	if result == ResultDeadlineExceeded {
		took = max(took, known.mean)
	}
	known.add(now, took)
	e.all.add(now, took)
}

func (e *estimates) low(now time.Time, kind string) time.Duration {
	known, found := e.kinds[kind]
	if !found {
		return 0
	}

	return known.low(now)
}
