package explain

import (
	"container/list"
	"sync"
)

// shard holds a part of the stories under one lock.
type shard struct {
	recorder *Recorder

	mu      sync.Mutex
	stories map[string]*list.Element
	// order holds the stories by arrival, the oldest first.
	order list.List
	bytes int
}

// account adds to what a story and its shard are accounted for; the shard is
// locked.
func (s *shard) account(story *Story, bytes int) {
	story.bytes += bytes
	s.bytes += bytes
	s.recorder.bytes.Add(float64(bytes))
}

// makeRoom evicts the oldest stories while the shard is over its bound; it is
// locked.
func (s *shard) makeRoom() {
	for s.bytes > s.recorder.shardBytes && s.order.Len() > 0 {
		story := s.order.Remove(s.order.Front()).(*Story)
		delete(s.stories, story.id)
		story.evicted = true
		s.account(story, -story.bytes)
		story.entries = nil
		s.recorder.evicted.Inc()
	}
}
