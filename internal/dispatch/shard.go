package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
)

// shard is one upstream's pool and its waiting requests.
type shard struct {
	mu      sync.Mutex
	pool    *router.Pool
	waiters map[string]chan outcome
	timer   *time.Timer
}

func newShard(pool *router.Pool) *shard {
	s := &shard{pool: pool, waiters: make(map[string]chan outcome)}
	// Each update resets the timer to the pool's next deadline.
	s.timer = time.AfterFunc(time.Hour, func() { s.update(func(time.Time) {}) })
	return s
}

// withPool runs f under the lock, without making new decisions.
func (s *shard) withPool(f func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(time.Now())
}

// update runs change under the lock and delivers the decisions that follow.
func (s *shard) update(change func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	change(now)
	s.deliver(now)
}

// deliver wakes the requests that the pool has decided on. s.mu must be held.
func (s *shard) deliver(now time.Time) {
	for _, decision := range s.pool.Decide(now) {
		waiter, ok := s.waiters[decision.ID]
		if !ok {
			continue
		}
		delete(s.waiters, decision.ID)
		waiter <- outcomeOf(decision)
	}
	s.resetTimer(now)
}

// resetTimer sets the timer to the pool's next deadline. s.mu must be held.
func (s *shard) resetTimer(now time.Time) {
	deadline := s.pool.Deadline(now)
	if deadline.IsZero() {
		s.timer.Stop()
		return
	}
	s.timer.Reset(max(deadline.Sub(now), 0))
}

func outcomeOf(decision router.Decision) outcome {
	if decision.Refused != nil {
		return outcome{refused: decision.Refused}
	}
	return outcome{replica: *decision.Replica, choice: decision.Choice}
}

// submit adds the request to the pool. The channel receives its outcome.
func (s *shard) submit(request router.Request) (<-chan outcome, *refusal.Error) {
	waiter := make(chan outcome, 1)
	var refused *refusal.Error
	s.update(func(now time.Time) {
		refused = s.pool.Submit(now, request)
		if refused == nil {
			s.waiters[request.ID] = waiter
		}
	})
	return waiter, refused
}

func (s *shard) acquire(ctx context.Context, request router.Request) (*Slot, error) {
	waiter, refused := s.submit(request)
	if refused != nil {
		return nil, refused
	}
	select {
	case o := <-waiter:
		return s.newSlot(request.ID, o)
	case <-ctx.Done():
		return nil, s.cancel(ctx, request.ID, waiter)
	}
}

func (s *shard) newSlot(id string, o outcome) (*Slot, error) {
	if o.refused != nil {
		return nil, o.refused
	}
	return &Slot{Replica: o.replica, Choice: o.choice, id: id, shard: s}, nil
}

// cancel withdraws a request, releasing its slot if it was bound in the meantime.
func (s *shard) cancel(ctx context.Context, id string, waiter <-chan outcome) error {
	s.update(func(now time.Time) {
		if _, waiting := s.waiters[id]; waiting {
			delete(s.waiters, id)
			s.pool.Cancel(now, id)
			return
		}
		if o := <-waiter; o.refused == nil {
			s.pool.Finish(now, id, router.ResultNotRun)
		}
	})
	return waitRefusal(ctx)
}

// waitRefusal returns the refusal of a request whose context ended while it was queued.
func waitRefusal(ctx context.Context) *refusal.Error {
	refused := refusal.New(refusal.CallerGone, "queue", "the caller disconnected while the request was queued")
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refused = refusal.New(refusal.GaveUpWaiting, "queue", "no slot became free before the request's deadline")
	}
	refused.Cause = ctx.Err()
	return refused
}
