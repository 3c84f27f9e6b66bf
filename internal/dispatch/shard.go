package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
)

// shard is one upstream's pool and the requests that wait for it.
type shard struct {
	mu      sync.Mutex
	pool    *router.Pool
	waiting map[string]chan grant
	timer   *time.Timer
}

func newShard(pool *router.Pool) *shard {
	s := &shard{pool: pool, waiting: make(map[string]chan grant)}
	s.timer = time.AfterFunc(time.Hour, func() { s.update(func(time.Time) {}) })
	return s
}

// observe changes the pool without looking for new decisions.
func (s *shard) observe(change func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(time.Now())
}

// update changes the pool and carries out the decisions that follow.
func (s *shard) update(change func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	change(now)
	s.deliver(now)
}

// deliver wakes every request the pool has decided on. The lock is held.
func (s *shard) deliver(now time.Time) {
	for _, event := range s.pool.Decide(now) {
		wake, ok := s.waiting[event.ID]
		if !ok {
			continue
		}
		delete(s.waiting, event.ID)
		wake <- grantOf(event)
	}
	s.arm(now)
}

// arm sets the timer to the pool's next deadline. The lock is held.
func (s *shard) arm(now time.Time) {
	deadline := s.pool.Deadline(now)
	if deadline.IsZero() {
		s.timer.Stop()
		return
	}
	s.timer.Reset(max(deadline.Sub(now), 0))
}

func grantOf(event router.Decision) grant {
	if event.Refused != nil {
		return grant{refused: event.Refused}
	}
	return grant{replica: *event.Replica, choice: event.Choice}
}

// submit hands the request to the pool; the channel gets the one decision.
func (s *shard) submit(request router.Request) (<-chan grant, *refusal.Error) {
	wake := make(chan grant, 1)
	var refused *refusal.Error
	s.update(func(now time.Time) {
		refused = s.pool.Submit(now, request)
		if refused == nil {
			s.waiting[request.ID] = wake
		}
	})
	return wake, refused
}

// acquire waits until the request is bound, refused, or its caller is gone.
func (s *shard) acquire(ctx context.Context, request router.Request) (*Slot, error) {
	wake, refused := s.submit(request)
	if refused != nil {
		return nil, refused
	}
	select {
	case g := <-wake:
		return s.slotOf(request.ID, g)
	case <-ctx.Done():
		return nil, s.abandon(ctx, request.ID, wake)
	}
}

func (s *shard) slotOf(id string, g grant) (*Slot, error) {
	if g.refused != nil {
		return nil, g.refused
	}
	return &Slot{Replica: g.replica, Choice: g.choice, id: id, shard: s}, nil
}

// abandon takes a request back whose caller is gone. A decision that came at
// the same moment is undone.
func (s *shard) abandon(ctx context.Context, id string, wake <-chan grant) error {
	s.update(func(now time.Time) {
		if _, waits := s.waiting[id]; waits {
			delete(s.waiting, id)
			s.pool.Cancel(now, id)
			return
		}
		if g := <-wake; g.refused == nil {
			s.pool.Finish(now, id, router.ResultNotRun)
		}
	})
	return leftWaiting(ctx)
}

// leftWaiting is the refusal of a request that left the queue by its context.
func leftWaiting(ctx context.Context) *refusal.Error {
	refused := refusal.New(refusal.CallerGone, "queue", "the caller left while the request waited")
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refused = refusal.New(refusal.GaveUpWaiting, "queue", "no slot came free while the answer was of use")
	}
	refused.Cause = ctx.Err()
	return refused
}
