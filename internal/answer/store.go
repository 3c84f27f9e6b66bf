package answer

import (
	"container/list"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"
)

const (
	storeShards = 32
	// DefaultMaxBytes bounds the memory of all answers.
	DefaultMaxBytes = 128 << 20
	// DefaultMaxAnswerBytes bounds one answer.
	DefaultMaxAnswerBytes = 16 << 20
	// recordOverhead is what a record costs beside its events, in bytes.
	recordOverhead = 512
)

// Options bound a store. The zero value means the defaults.
type Options struct {
	// MaxBytes bounds all answers together; finished ones are evicted for it,
	// the oldest first.
	MaxBytes int64
	// MaxAnswerBytes bounds one answer.
	MaxAnswerBytes int64
}

// Store holds the answers of one node. It is safe for concurrent use.
type Store struct {
	options Options
	seed    maphash.Seed
	// used is what all records are accounted for, in bytes.
	used atomic.Int64
	// sweptAt is when expired answers were last looked for, in Unix
	// nanoseconds.
	sweptAt atomic.Int64
	shards  [storeShards]storeShard
}

type storeShard struct {
	mu      sync.Mutex
	records map[string]*Record
	// finished orders the ended records by their end, the oldest first.
	finished *list.List
}

// NewStore returns an empty store.
func NewStore(options Options) *Store {
	if options.MaxBytes == 0 {
		options.MaxBytes = DefaultMaxBytes
	}
	if options.MaxAnswerBytes == 0 {
		options.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	s := &Store{options: options, seed: maphash.MakeSeed()}
	for i := range s.shards {
		s.shards[i].records = make(map[string]*Record)
		s.shards[i].finished = list.New()
	}
	return s
}

// Open adds the answer of a new request, or returns ErrFull.
func (s *Store) Open(now time.Time, meta Meta) (*Record, error) {
	s.sweep(now)
	if !s.makeRoom() {
		return nil, ErrFull
	}
	r := &Record{
		meta: meta, store: s, next: 1, last: unknownLast, lost: make(map[int]bool),
		status: Status{State: Running, Streamed: meta.Streamed, Upstream: meta.Upstream},
	}
	r.account(recordOverhead)
	shard := s.shard(meta.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.records[meta.ID] = r
	return r, nil
}

// Find returns the workspace's answer, or ErrUnknown.
func (s *Store) Find(now time.Time, id, workspace string) (*Record, error) {
	shard := s.shard(id)
	shard.mu.Lock()
	r, ok := shard.records[id]
	shard.mu.Unlock()
	if !ok || r.meta.Workspace != workspace || r.expired(now) {
		return nil, ErrUnknown
	}
	return r, nil
}

// Used returns the accounted memory of all answers, in bytes.
func (s *Store) Used() int64 { return s.used.Load() }

func (s *Store) shard(id string) *storeShard {
	return &s.shards[maphash.String(s.seed, id)%storeShards]
}

// finished queues an ended record for eviction.
func (s *Store) finished(r *Record) {
	shard := s.shard(r.meta.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.queue(r)
}

// queue adds the record by its end, which is almost always the latest. The
// shard must be locked.
func (s *storeShard) queue(r *Record) {
	for e := s.finished.Back(); e != nil; e = e.Prev() {
		if !e.Value.(*Record).finishedAt.After(r.finishedAt) {
			s.finished.InsertAfter(r, e)
			return
		}
	}
	s.finished.PushFront(r)
}
