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

type slidingWindow struct {
	buckets [windowBuckets]bucket
}

// bucketAt returns the bucket of now, reset if its counts are older.
func (w *slidingWindow) bucketAt(now time.Time) *bucket {
	index := now.UnixNano() / int64(bucketDuration)
	c := &w.buckets[index%windowBuckets]
	if c.index < index {
		*c = bucket{index: index}
	}
	return c
}

func (w *slidingWindow) sum(now time.Time) bucket {
	var total bucket
	newest := now.UnixNano() / int64(bucketDuration)
	for _, c := range w.buckets {
		if c.index <= newest-windowBuckets || c.index > newest {
			continue
		}
		total.successes += c.successes
		total.charged += c.charged
		total.uncharged += c.uncharged
	}
	return total
}
