package fence

import "time"

// memory remembers values by key in buckets of time, and forgets a whole bucket at once.
type memory[K comparable, V any] struct {
	span time.Duration
	// floor is the time up to which values may have been forgotten under a shorter span.
	floor   time.Time
	width   time.Duration
	buckets map[int64]map[K]V
	size    int
}

func newMemory[K comparable, V any](span, width time.Duration) *memory[K, V] {
	return &memory[K, V]{span: span, width: width, buckets: map[int64]map[K]V{}}
}

func (m *memory[K, V]) bucket(at time.Time) int64 {
	return at.UnixNano() / int64(m.width)
}

func (m *memory[K, V]) get(at time.Time, k K) (V, bool) {
	value, found := m.buckets[m.bucket(at)][k]

	return value, found
}

func (m *memory[K, V]) put(at time.Time, k K, v V) {
	index := m.bucket(at)
	bucket, found := m.buckets[index]
	if !found {
		bucket = map[K]V{}
		m.buckets[index] = bucket
	}
	before := len(bucket)
	bucket[k] = v
	m.size += len(bucket) - before
}

// covers reports whether everything of that time is still remembered at now.
func (m *memory[K, V]) covers(now, at time.Time) bool {
	return !at.Before(m.floor) && at.After(now.Add(-m.span)) && at.Before(now.Add(m.span))
}

// widen remembers longer from now on.
func (m *memory[K, V]) widen(now time.Time, span time.Duration) {
	if span <= m.span {
		return
	}
	if forgotten := now.Add(-m.span); forgotten.After(m.floor) {
		m.floor = forgotten
	}
	m.span = span
}

// shrink forgets the oldest bucket for room, unless that lies within the least span before now.
func (m *memory[K, V]) shrink(now time.Time, least time.Duration) bool {
	oldest := m.bucket(now)
	for index := range m.buckets {
		oldest = min(oldest, index)
	}
	end := time.Unix(0, (oldest+1)*int64(m.width))
	if end.After(now.Add(-least)) {
		return false
	}
	m.size -= len(m.buckets[oldest])
	delete(m.buckets, oldest)
	if end.After(m.floor) {
		m.floor = end
	}

	return true
}

// expire forgets the buckets that covers refuses whole, and hands their values to drop.
func (m *memory[K, V]) expire(now time.Time, drop func(K, V)) {
	oldest := m.bucket(now.Add(-m.span))
	for index, bucket := range m.buckets {
		if index >= oldest {
			continue
		}
		m.size -= len(bucket)
		delete(m.buckets, index)
		for k, v := range bucket {
			drop(k, v)
		}
	}
}
