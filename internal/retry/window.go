package retry

import "time"

const (
	windowBuckets  = 10
	bucketDuration = time.Second
)

// bucket counts the events of one bucketDuration.
type bucket struct {
	// index is the bucket's number since the Unix epoch.
	index     int64
	successes int32
	// charged attempts count against the budget, uncharged ones against notRunAllowance.
	charged   int32
	uncharged int32
}

// slidingWindow counts the events of the last windowBuckets buckets.
type slidingWindow struct {
	buckets [windowBuckets]bucket
}

// bucketAt returns the bucket of now, reset if its counts are older.
func (w *slidingWindow) bucketAt(now time.Time) *bucket {
	index := now.UnixNano() / int64(bucketDuration)
	b := &w.buckets[index%windowBuckets]
	if b.index < index {
		*b = bucket{index: index}
	}
	return b
}

func (w *slidingWindow) sum(now time.Time) bucket {
	var total bucket
	newest := now.UnixNano() / int64(bucketDuration)
	for _, b := range w.buckets {
		if b.index <= newest-windowBuckets || b.index > newest {
			continue
		}
		total.successes += b.successes
		total.charged += b.charged
		total.uncharged += b.uncharged
	}
	return total
}
