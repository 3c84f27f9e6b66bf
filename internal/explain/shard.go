package explain

import (
	"container/list"
	"sync"
)

// shard holds a part of the timelines under one lock.
type shard struct {
	recorder *Recorder

	mu        sync.Mutex
	timelines map[string]*list.Element
	// order holds the timelines by arrival, the oldest first.
	order list.List
	bytes int
}

// account adds to what a timeline and its shard are accounted for; the shard is
// locked.
func (s *shard) account(timeline *Timeline, bytes int) {
	timeline.bytes += bytes
	s.bytes += bytes
	s.recorder.bytes.Add(float64(bytes))
}

// makeRoom evicts the oldest timelines while the shard is over its bound; it is
// locked.
func (s *shard) makeRoom() {
	for s.bytes > s.recorder.shardBytes && s.order.Len() > 0 {
		timeline := s.order.Remove(s.order.Front()).(*Timeline)
		delete(s.timelines, timeline.id)
		timeline.evicted = true
		s.account(timeline, -timeline.bytes)
		timeline.entries = nil
		s.recorder.evicted.Inc()
	}
}
