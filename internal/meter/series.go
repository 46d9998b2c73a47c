package meter

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// seriesMost bounds the values of one tag that are told apart; the rest share one series.
	seriesMost = 256
	// otherValue is the tag value of those that are not told apart.
	otherValue = "other"
	// latencyFirst and latencyCount give buckets from 2 ms to 33 s, each twice as wide as the one before.
	latencyFirst = 2 * time.Millisecond
	latencyCount = 15
)

// Vec are metrics of one name that differ in the value of one tag; a look-up costs far less than one at the scope.
type Vec[M any] struct {
	make func(value string) M

	mu    sync.RWMutex
	known map[string]M
}

// NewCounters returns the counters of a name, one for each value of the tag.
func NewCounters(scope tally.Scope, name, tag string) *Vec[tally.Counter] {
	return newSeries(func(value string) tally.Counter {
		return scope.Tagged(map[string]string{tag: value}).Counter(name)
	})
}

// NewLatencies returns the latency histograms of a name, one for each value of the tag.
func NewLatencies(scope tally.Scope, name, tag string) *Vec[tally.Histogram] {
	buckets := tally.MustMakeExponentialDurationBuckets(latencyFirst, 2, latencyCount)

	return newSeries(func(value string) tally.Histogram {
		return scope.Tagged(map[string]string{tag: value}).Histogram(name, buckets)
	})
}

func newSeries[M any](makeOne func(value string) M) *Vec[M] {
	return &Vec[M]{make: makeOne, known: map[string]M{}}
}

// WithTag returns the metric for a value of the tag.
func (s *Vec[M]) WithTag(value string) M {
	s.mu.RLock()
	metric, found := s.known[value]
	s.mu.RUnlock()
	if found {
		return metric
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.known) >= seriesMost {
		value = otherValue
	}
	if metric, found = s.known[value]; !found {
		metric = s.make(value)
		s.known[value] = metric
	}

	return metric
}
