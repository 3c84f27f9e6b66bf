package nodesync

import (
	"sync"
	"sync/atomic"
	"time"

	"galenatrestle/internal/boottime"
)

// firstReadRetention is how long the begin of a first read is told. Nodes do not wait longer for
// the copy of another one.
const firstReadRetention = 5 * time.Second

// firstReads tracks when a node without registrations last began to read them from the store, as
// far as this node knows. Nodes that restart together know neither each other nor their number;
// whoever hears that another one reads already waits for its copy. It is safe for concurrent use.
type firstReads struct {
	mu     sync.Mutex
	latest boottime.Instant
	// ownBegan is set once this node has begun a first read.
	ownBegan atomic.Bool
}

// begin records that this node begins a first read. Further attempts do not count: other nodes must
// not go on waiting for a node that cannot reach the store.
func (f *firstReads) begin(now boottime.Instant) {
	if f.ownBegan.CompareAndSwap(false, true) {
		f.merge(now)
	}
}

// merge records when this or another node began a first read.
func (f *firstReads) merge(beganAt boottime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest = max(f.latest, beganAt)
}

// since returns the time since the latest first read began. The result is false if none is known
// to have begun recently.
func (f *firstReads) since(now boottime.Instant) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := now.Sub(f.latest)
	return since, f.latest != 0 && since < firstReadRetention
}

// BeginFirstRead records that this node, which has no registrations, begins to read them.
func (s *Sync) BeginFirstRead() { s.firstReads.begin(s.options.Clock()) }

// SinceOthersFirstRead returns the time since another node without registrations last began to read
// them. The result is false if none is known to have begun recently, or if this node has begun
// itself: other nodes tell it of its own read, too.
func (s *Sync) SinceOthersFirstRead() (time.Duration, bool) {
	since, known := s.firstReads.since(s.options.Clock())
	return since, known && !s.firstReads.ownBegan.Load()
}

// firstReadAge returns the time since the latest first read for a message, in microseconds; zero
// if there was none recently.
func (s *Sync) firstReadAge(now boottime.Instant) int64 {
	since, known := s.firstReads.since(now)
	if !known {
		return 0
	}
	return max(since.Microseconds(), 1)
}

// mergeFirstRead merges the age of a message that was received, or whose call started, at the
// given instant.
func (s *Sync) mergeFirstRead(age int64, at boottime.Instant) {
	if age > 0 {
		s.firstReads.merge(at.Add(-microseconds(age)))
	}
}
