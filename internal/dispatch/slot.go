package dispatch

import (
	"sync"
	"time"

	"galenatrestle/internal/router"
)

// Slot is the right to run one attempt on one replica. It must be finished
// exactly once; further calls of Finish do nothing.
type Slot struct {
	// Replica is where the attempt runs.
	Replica router.Replica
	// Choice is why it runs there.
	Choice router.Choice

	id       string
	shard    *shard
	finished sync.Once
	// untold counts the tokens that the pool does not know of; toldAt is when
	// it was last told.
	untold int
	toldAt time.Time
}

// tokenBatch is the time for which tokens are gathered before the pool is told:
// a few tokens at a usual pace, and far below the silence that makes a replica
// suspect.
const tokenBatch = 100 * time.Millisecond

// RecordFirstToken tells the decisions that the answer has begun.
func (s *Slot) RecordFirstToken() {
	s.shard.update(func(now time.Time) { s.shard.pool.RecordFirstToken(now, s.id) })
}

// RecordTokens counts n more tokens. The decisions are told of them in batches, since
// all requests of the upstream share the pool's lock. It is for one goroutine.
func (s *Slot) RecordTokens(n int) {
	s.untold += n
	now := time.Now()
	if now.Sub(s.toldAt) < tokenBatch {
		return
	}
	s.toldAt = now
	s.shard.observe(s.tellTokens)
}

// tellTokens tells the pool of the tokens it has not been told of. The shard's
// lock is held.
func (s *Slot) tellTokens(now time.Time) {
	if s.untold == 0 {
		return
	}
	s.shard.pool.RecordTokens(now, s.id, s.untold)
	s.untold = 0
}

// Finish gives the slot back.
func (s *Slot) Finish(result router.Result) {
	s.finished.Do(func() {
		s.shard.update(func(now time.Time) {
			s.tellTokens(now)
			s.shard.pool.Finish(now, s.id, result)
		})
	})
}
