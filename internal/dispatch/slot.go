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
}

// FirstToken tells the decisions that the answer has begun.
func (s *Slot) FirstToken() {
	s.shard.update(func(now time.Time) { s.shard.pool.FirstToken(now, s.id) })
}

// Tokens tells the decisions that n more tokens came.
func (s *Slot) Tokens(n int) {
	s.shard.observe(func(now time.Time) { s.shard.pool.Tokens(now, s.id, n) })
}

// Finish gives the slot back.
func (s *Slot) Finish(result router.Result) {
	s.finished.Do(func() {
		s.shard.update(func(now time.Time) { s.shard.pool.Finish(now, s.id, result) })
	})
}
