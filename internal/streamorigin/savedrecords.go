package streamorigin

import (
	"context"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
)

const (
	// savedReadAge is the age up to which a read of the store serves further requests.
	savedReadAge = 50 * time.Millisecond
	// savedReadTimeout bounds one read.
	savedReadTimeout = 500 * time.Millisecond
	// A process reads the store between firstSavedRead and twice that after its start, and after as
	// long again if that failed.
	firstSavedRead = time.Second
)

// savedRecords reads the records in the store, once for all requests that want them at the same
// time. It is safe for concurrent use.
type savedRecords struct {
	mu sync.Mutex
	// read is the last one, also if it has not ended.
	read *savedRead
}

// savedRead is one read; its results may be used once done is closed.
type savedRead struct {
	beganAt boottime.Instant
	done    chan struct{}
	records []Record
	err     error
}

// load returns all records in the store.
func (s *savedRecords) load(ctx context.Context, store Store, clock boottime.Clock) ([]Record, error) {
	now := clock()
	s.mu.Lock()
	r := s.read
	if r == nil || now.Sub(r.beganAt) > savedReadAge {
		r = &savedRead{beganAt: now, done: make(chan struct{})}
		s.read = r
		// The read serves others as well, so that it goes on if this caller leaves.
		go r.run(context.WithoutCancel(ctx), store)
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.records, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *savedRead) run(ctx context.Context, store Store) {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(ctx, savedReadTimeout)
	defer cancel()
	r.records, r.err = store.StreamOrigins(ctx, r.beganAt)
}
