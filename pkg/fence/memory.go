package fence

import "time"

// timeBuckets stores values by key in buckets of their time, so that a whole bucket is evicted at once.
type timeBuckets[K comparable, V any] struct {
	retention time.Duration
	// evictedBefore is the time before which values may be missing, because of a former shorter retention or early eviction.
	evictedBefore time.Time
	bucketWidth   time.Duration
	buckets       map[int64]map[K]V
	size          int
}

func newTimeBuckets[K comparable, V any](retention, bucketWidth time.Duration) *timeBuckets[K, V] {
	return &timeBuckets[K, V]{retention: retention, bucketWidth: bucketWidth, buckets: map[int64]map[K]V{}}
}

func (b *timeBuckets[K, V]) bucket(at time.Time) int64 {
	return at.UnixNano() / int64(b.bucketWidth)
}

func (b *timeBuckets[K, V]) get(at time.Time, k K) (V, bool) {
	value, found := b.buckets[b.bucket(at)][k]

	return value, found
}

func (b *timeBuckets[K, V]) put(at time.Time, k K, v V) {
	index := b.bucket(at)
	bucket, found := b.buckets[index]
	if !found {
		bucket = map[K]V{}
		b.buckets[index] = bucket
	}
	before := len(bucket)
	bucket[k] = v
	b.size += len(bucket) - before
}

// retains reports whether all values with time at are still stored at now. It is false for times in the far future, too.
func (b *timeBuckets[K, V]) retains(now, at time.Time) bool {
	return !at.Before(b.evictedBefore) && at.After(now.Add(-b.retention)) && at.Before(now.Add(b.retention))
}

// extendRetention raises the retention. Values that were evicted before stay missing.
func (b *timeBuckets[K, V]) extendRetention(now time.Time, retention time.Duration) {
	if retention <= b.retention {
		return
	}
	if evictedBefore := now.Add(-b.retention); evictedBefore.After(b.evictedBefore) {
		b.evictedBefore = evictedBefore
	}
	b.retention = retention
}

// evictOldest evicts the oldest bucket and reports whether it did. It keeps the buckets of the last minRetention.
func (b *timeBuckets[K, V]) evictOldest(now time.Time, minRetention time.Duration) bool {
	oldest := b.bucket(now)
	for index := range b.buckets {
		oldest = min(oldest, index)
	}
	end := time.Unix(0, (oldest+1)*int64(b.bucketWidth))
	if end.After(now.Add(-minRetention)) {
		return false
	}
	b.size -= len(b.buckets[oldest])
	delete(b.buckets, oldest)
	if end.After(b.evictedBefore) {
		b.evictedBefore = end
	}

	return true
}

// expire evicts the buckets that are wholly older than the retention, and passes their values to drop.
func (b *timeBuckets[K, V]) expire(now time.Time, drop func(K, V)) {
	oldest := b.bucket(now.Add(-b.retention))
	for index, bucket := range b.buckets {
		if index >= oldest {
			continue
		}
		b.size -= len(bucket)
		delete(b.buckets, index)
		for k, v := range bucket {
			drop(k, v)
		}
	}
}
