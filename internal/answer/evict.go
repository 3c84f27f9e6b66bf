package answer

import (
	"container/list"
	"time"
)

// sweepInterval is the least time between two looks for expired answers.
const sweepInterval = time.Second

// Evict drops the answers whose retention is over. Those that are being read
// stay. Open calls it from time to time; an idle node should as well.
func (s *Store) Evict(now time.Time) {
	for i := range s.shards {
		s.shards[i].dropExpired(now)
	}
}

// sweep calls Evict at most once in a sweepInterval.
func (s *Store) sweep(now time.Time) {
	last := s.sweptAt.Load()
	if now.UnixNano()-last < int64(sweepInterval) {
		return
	}
	if s.sweptAt.CompareAndSwap(last, now.UnixNano()) {
		s.Evict(now)
	}
}

// makeRoom drops finished answers, the oldest first, while the store is over
// its bound. It says whether it came under it.
func (s *Store) makeRoom() bool {
	for s.used.Load() >= s.options.MaxBytes {
		if !s.dropOldest() {
			return false
		}
	}
	return true
}

func (s *storeShard) dropExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.finished.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*Record).expired(now) {
			s.drop(e)
		}
		e = next
	}
}

// dropOldest drops the finished answer with the earliest end over all shards.
// It says whether there was one, also where another goroutine was quicker to
// drop it or began to read it.
func (s *Store) dropOldest() bool {
	var oldest *storeShard
	var at time.Time
	for i := range s.shards {
		end, ok := s.shards[i].oldest()
		if ok && (oldest == nil || end.Before(at)) {
			oldest, at = &s.shards[i], end
		}
	}
	if oldest == nil {
		return false
	}
	oldest.dropFirst()
	return true
}

// oldest returns the end of the first finished answer that nobody reads.
func (s *storeShard) oldest() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.finished.Front(); e != nil; e = e.Next() {
		r := e.Value.(*Record)
		if r.idle() {
			return r.finishedAt, true
		}
	}
	return time.Time{}, false
}

// dropFirst drops the first finished answer that nobody reads.
func (s *storeShard) dropFirst() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.finished.Front(); e != nil; e = e.Next() {
		if s.drop(e) {
			return
		}
	}
}

// drop removes a finished answer unless somebody reads it. The shard must be
// locked.
func (s *storeShard) drop(e *list.Element) bool {
	r := e.Value.(*Record)
	if !r.discard() {
		return false
	}
	s.finished.Remove(e)
	delete(s.records, r.meta.ID)
	return true
}

// idle says whether nobody reads the answer.
func (r *Record) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0
}

// expired says whether the answer's retention is over.
func (r *Record) expired(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status.State != Running && now.Sub(r.finishedAt) >= r.meta.Retention
}

// discard frees the events unless somebody reads them.
func (r *Record) discard() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readers > 0 {
		return false
	}
	r.account(-r.bytes)
	r.events = packed{}
	r.gone = true
	return true
}
