package meter

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// maxTagValues bounds the number of values of one tag with a metric of their own; the remaining values share one metric.
	maxTagValues = 256
	// overflowValue is the tag value of the shared metric.
	overflowValue = "other"
	// minLatencyBound and latencyBounds give bucket bounds from 2 ms to 33 s, each twice the one before.
	minLatencyBound = 2 * time.Millisecond
	latencyBounds   = 15
)

// Vec is a set of metrics that share a name and differ in the value of one tag. It caches them, because a look-up in the scope costs
// far more. It is safe for concurrent use.
type Vec[M any] struct {
	create func(value string) M

	mu      sync.RWMutex
	metrics map[string]M
}

// NewCounters returns counters with the given name, one for each value of the tag.
func NewCounters(scope tally.Scope, name, tag string) *Vec[tally.Counter] {
	return newVec(func(value string) tally.Counter {
		return scope.Tagged(map[string]string{tag: value}).Counter(name)
	})
}

// NewLatencies returns latency histograms with the given name, one for each value of the tag.
func NewLatencies(scope tally.Scope, name, tag string) *Vec[tally.Histogram] {
	buckets := tally.MustMakeExponentialDurationBuckets(minLatencyBound, 2, latencyBounds)

	return newVec(func(value string) tally.Histogram {
		return scope.Tagged(map[string]string{tag: value}).Histogram(name, buckets)
	})
}

func newVec[M any](create func(value string) M) *Vec[M] {
	return &Vec[M]{create: create, metrics: map[string]M{}}
}

// WithTag returns the metric for a value of the tag, or the shared one once there are too many values.
func (s *Vec[M]) WithTag(value string) M {
	s.mu.RLock()
	metric, found := s.metrics[value]
	s.mu.RUnlock()
	if found {
		return metric
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.metrics) >= maxTagValues {
		value = overflowValue
	}
	if metric, found = s.metrics[value]; !found {
		metric = s.create(value)
		s.metrics[value] = metric
	}

	return metric
}
