package dispatch

import (
	"sync"
	"time"

	"galenatrestle/internal/router"
)

// Slot is the right to run one attempt on one replica until Finish is called. Later calls of
// Finish do nothing.
type Slot struct {
	Replica router.Replica
	// Choice describes the replica at the time it was chosen.
	Choice router.Choice

	id       string
	shard    *shard
	finished sync.Once
	// pendingTokens are not yet recorded in the pool; flushedAt is the time of the last flush.
	pendingTokens int
	flushedAt     time.Time
}

// tokenFlushInterval must be far below the stall time that makes a replica a straggler.
const tokenFlushInterval = 100 * time.Millisecond

// RecordFirstToken records the first token of the answer.
func (s *Slot) RecordFirstToken() {
	s.shard.update(func(now time.Time) { s.shard.pool.RecordFirstToken(now, s.id) })
}

// RecordTokens records n more tokens, in batches, since all requests of the upstream share the
// pool's lock. It is not safe for concurrent use.
func (s *Slot) RecordTokens(n int) {
	s.pendingTokens += n
	now := time.Now()
	if now.Sub(s.flushedAt) < tokenFlushInterval {
		return
	}
	s.flushedAt = now
	s.shard.withPool(s.flushTokens)
}

// flushTokens updates the pool. The shard's lock must be held.
func (s *Slot) flushTokens(now time.Time) {
	if s.pendingTokens == 0 {
		return
	}
	s.shard.pool.RecordTokens(now, s.id, s.pendingTokens)
	s.pendingTokens = 0
}

// Finish releases the slot.
func (s *Slot) Finish(result router.Result) {
	s.finished.Do(func() {
		s.shard.update(func(now time.Time) {
			s.flushTokens(now)
			s.shard.pool.Finish(now, s.id, result)
		})
	})
}
