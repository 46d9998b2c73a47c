package admit

import "time"

const (
	// serviceTimeGain is the weight of a new sample in the moving averages.
	serviceTimeGain = 0.1
	// maxServiceTimeKinds bounds the memory; all estimates are dropped when it is reached.
	maxServiceTimeKinds = 256
	// serviceTimeStaleAfter is the age of the last sample above which the lower bound shrinks.
	serviceTimeStaleAfter = time.Second
	// minServiceTimeSamples is the number of samples below which no lower bound is given.
	minServiceTimeSamples = 5
)

// serviceTime estimates the service time of one kind of request from exponential moving averages.
type serviceTime struct {
	mean time.Duration
	// deviation is the mean absolute deviation from the mean.
	deviation    time.Duration
	samples      int
	lastSampleAt time.Time
}

func (s *serviceTime) add(now time.Time, took time.Duration) {
	s.lastSampleAt = now
	s.samples++
	if s.samples == 1 {
		s.mean = took

		return
	}
	deviation := took - s.mean
	s.mean += time.Duration(serviceTimeGain * float64(deviation))
	s.deviation += time.Duration(serviceTimeGain * (float64(max(deviation, -deviation)) - float64(s.deviation)))
}

// lowerBound returns a duration that few executions fall below, zero if there are too few samples. It shrinks while no
// sample arrives, so that calls of a kind refused by an outdated estimate are eventually admitted and measured again.
func (s *serviceTime) lowerBound(now time.Time) time.Duration {
	if s.samples < minServiceTimeSamples {
		return 0
	}
	bound := max(s.mean-2*s.deviation, s.mean/2)
	age := now.Sub(s.lastSampleAt)
	if age > serviceTimeStaleAfter {
		bound = time.Duration(float64(bound) * float64(serviceTimeStaleAfter) / float64(age))
	}

	return bound
}

// serviceTimes holds an estimate for each kind and one for all kinds together.
type serviceTimes struct {
	kinds map[string]*serviceTime
	all   serviceTime
}

func newServiceTimes() *serviceTimes {
	return &serviceTimes{kinds: map[string]*serviceTime{}}
}

// observe adds the duration of an execution. One that its deadline ended counts as at least the mean, because it would have
// taken longer.
func (s *serviceTimes) observe(now time.Time, kind string, took time.Duration, result Result) {
	if result == ResultOther {
		return
	}
	estimate, found := s.kinds[kind]
	if !found {
		if len(s.kinds) >= maxServiceTimeKinds {
			s.kinds = map[string]*serviceTime{}
		}
		estimate = &serviceTime{}
		s.kinds[kind] = estimate
	}
	if result == ResultDeadlineExceeded {
		took = max(took, estimate.mean)
	}
	estimate.add(now, took)
	s.all.add(now, took)
}

// lowerBound returns the lower bound of the service time of the kind, zero for an unknown kind.
func (s *serviceTimes) lowerBound(now time.Time, kind string) time.Duration {
	estimate, found := s.kinds[kind]
	if !found {
		return 0
	}

	return estimate.lowerBound(now)
}
