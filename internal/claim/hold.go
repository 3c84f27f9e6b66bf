package claim

import (
	"context"
	"time"

	"github.com/google/uuid"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
)

// hold takes the shard over and writes for it until the term ends, another
// holder supersedes this one, or ctx ends. When ctx ends, what waits is
// written first.
func (s *shard) hold(ctx context.Context, term Term, holder string) error {
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() {
		select {
		case <-term.Done():
			stop()
		case <-live.Done():
		}
	}()
	if err := s.takeOver(live, term, holder); err != nil {
		return errs.Wrap(errs.Platform, err, stepTakeOver, shardPrefix(s.number))
	}
	err := s.writeAll(ctx, live)
	s.letGo(err)
	return err
}

// takeOver reads the ring and fences it by its first write.
func (s *shard) takeOver(ctx context.Context, term Term, holder string) error {
	prefix := shardPrefix(s.number)
	entries, _, err := s.options.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	fresh, err := recoverRing(s.options.Policy, prefix, holder, term.Epoch(), entries)
	if err != nil {
		return err
	}
	if err := s.write(ctx, fresh); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ring = fresh
	s.term = term
	s.holding = true
	s.advance()
	s.metrics.takeovers.Inc()
	return nil
}

// writeAll writes whenever something waits.
func (s *shard) writeAll(ctx, live context.Context) error {
	for {
		select {
		case <-s.wake:
		case <-live.Done():
			return nil
		case <-ctx.Done():
			return s.flush(live)
		}
		if err := s.flush(live); err != nil {
			return err
		}
	}
}

// flush writes until nothing waits, one write at a time, gathered, and no faster
// than the shard's share of the platform's rate.
func (s *shard) flush(live context.Context) error {
	for s.waiting() {
		if !s.gather(live) || s.limiter.Wait(live) != nil {
			return nil
		}
		if err := s.write(live, s.ring); err != nil {
			return err
		}
	}
	return nil
}

// gather waits until the next write is worthwhile: at once on an idle shard, else
// once its turn has come or GatherBytes wait. It returns false when live ended
// first.
func (s *shard) gather(live context.Context) bool {
	turn := s.gathering.Reserve()
	timer := time.NewTimer(turn.Delay())
	defer timer.Stop()
	for s.waitingBytes() < s.options.FlushBytes {
		select {
		case <-timer.C:
			return live.Err() == nil
		case <-s.wake:
		case <-live.Done():
			turn.Cancel()
			return false
		}
	}
	turn.Cancel()
	return live.Err() == nil
}

func (s *shard) waitingBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ring.pendingBytes
}

func (s *shard) waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ring.pending) > 0 || s.ring.compact
}

// write makes the ring's next write. It returns nil when it has taken effect,
// errSuperseded when another holder has the ring, and errUncertain when the
// term ended before that was known.
func (s *shard) write(live context.Context, current *ring) error {
	s.mu.Lock()
	next, err := current.nextWrite(time.Now(), uuid.New())
	s.mu.Unlock()
	if err != nil {
		return err
	}
	revision, err := s.settle(live, next)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current.written(next, revision)
	s.stuck = false
	s.advance()
	s.metrics.written(s.number, next, current)
	s.warnOfFill(current.fill())
	return nil
}

// stuckTries is how many tries of one write may fail before new claims are
// refused at once.
const stuckTries = 3

// settle sends the write until its effect is known. An answer that was lost is
// resolved by sending the same write again: it meets its own write id.
func (s *shard) settle(live context.Context, next write) (int64, error) {
	for tries := 1; ; tries++ {
		outcome, revision := s.send(live, next)
		s.metrics.writes.WithLabelValues(outcome.String()).Inc()
		switch outcome {
		case effectLanded:
			return revision, nil
		case effectSuperseded:
			return 0, errSuperseded
		}
		s.mu.Lock()
		s.stuck = tries >= stuckTries
		s.advance()
		s.mu.Unlock()
		if !pause(live, s.options) {
			return 0, errUncertain
		}
	}
}

func (s *shard) send(live context.Context, next write) (effect, int64) {
	ctx, cancel := context.WithTimeout(live, s.options.CallTimeout)
	defer cancel()
	answer, err := s.options.Store.CompareAndSwap(ctx, next.key, next.expect, next.value)
	outcome, revision := next.judge(answer, err)
	if outcome != effectUnread {
		return outcome, revision
	}
	var found platform.Entry
	found, err = s.options.Store.Get(ctx, next.key)
	if err != nil {
		return effectOpen, 0
	}
	return next.recognise(found)
}

// letGo ends the holding. What is known stays readable unless another holder
// may have gone on from it.
func (s *shard) letGo(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holding = false
	s.stuck = false
	if cause == errSuperseded {
		s.ring = nil
	}
	s.advance()
}
