package claim

import (
	"context"
	"time"

	"github.com/google/uuid"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
)

// hold takes over the shard and writes its changes until the term ends, another holder
// supersedes this one, or ctx ends. When ctx ends, pending changes are written first.
func (s *shard) hold(ctx context.Context, term Term, holder string) error {
	termCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() {
		select {
		case <-term.Done():
			stop()
		case <-termCtx.Done():
		}
	}()
	if err := s.takeOver(termCtx, term, holder); err != nil {
		return errs.Wrap(errs.Platform, err, stepTakeOver, shardPrefix(s.number))
	}
	err := s.writeLoop(ctx, termCtx)
	s.stopHolding(err)
	return err
}

// takeOver reads the ring and fences out the previous holder with its first write.
func (s *shard) takeOver(termCtx context.Context, term Term, holder string) error {
	prefix := shardPrefix(s.number)
	entries, _, err := s.options.Store.List(termCtx, prefix)
	if err != nil {
		return err
	}
	recovered, err := recoverRing(s.options.Policy, prefix, holder, term.Epoch(), entries)
	if err != nil {
		return err
	}
	if err := s.write(termCtx, recovered); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ring = recovered
	s.term = term
	s.holding = true
	s.notifyWaiters()
	s.metrics.takeovers.Inc()
	return nil
}

func (s *shard) writeLoop(ctx, termCtx context.Context) error {
	for {
		select {
		case <-s.wake:
		case <-termCtx.Done():
			return nil
		case <-ctx.Done():
			return s.flush(termCtx)
		}
		if err := s.flush(termCtx); err != nil {
			return err
		}
	}
}

// flush writes until no changes are pending, one write at a time, in batches, and within
// the shard's share of the platform's write rate.
func (s *shard) flush(termCtx context.Context) error {
	for s.hasPending() {
		if !s.waitForBatch(termCtx) || s.writeLimiter.Wait(termCtx) != nil {
			return nil
		}
		if err := s.write(termCtx, s.ring); err != nil {
			return err
		}
	}
	return nil
}

// waitForBatch waits until the next write is due: immediately on an idle shard,
// otherwise after FlushInterval or once FlushBytes are pending. It returns false if
// termCtx ends first.
func (s *shard) waitForBatch(termCtx context.Context) bool {
	reservation := s.flushLimiter.Reserve()
	timer := time.NewTimer(reservation.Delay())
	defer timer.Stop()
	for s.pendingSize() < s.options.FlushBytes {
		select {
		case <-timer.C:
			return termCtx.Err() == nil
		case <-s.wake:
		case <-termCtx.Done():
			reservation.Cancel()
			return false
		}
	}
	reservation.Cancel()
	return termCtx.Err() == nil
}

func (s *shard) pendingSize() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ring.pendingBytes
}

func (s *shard) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ring.pending) > 0 || s.ring.compact
}

// write performs the ring's next write. It returns nil once the write has taken effect,
// errSuperseded if another holder has taken over the ring, and errUncertain if the term
// ended before the result was known.
func (s *shard) write(termCtx context.Context, current *ring) error {
	s.mu.Lock()
	next, err := current.nextWrite(time.Now(), uuid.New())
	s.mu.Unlock()
	if err != nil {
		return err
	}
	revision, err := s.resolveWrite(termCtx, next)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current.markWritten(next, revision)
	s.writeStalled = false
	s.notifyWaiters()
	s.metrics.countWrite(s.number, next, current)
	s.warnIfFilling(current.fill())
	return nil
}

// stalledAfterTries is the number of failed tries of one write after which new claims are
// refused immediately.
const stalledAfterTries = 3

// resolveWrite sends the write until its effect is known. After a lost response it sends
// the same write again and recognizes its own write ID in the conflict.
func (s *shard) resolveWrite(termCtx context.Context, next write) (int64, error) {
	for tries := 1; ; tries++ {
		result, revision := s.send(termCtx, next, s.options.callTimeout(tries-1))
		s.metrics.writes.WithLabelValues(result.String()).Inc()
		switch result {
		case effectApplied:
			return revision, nil
		case effectSuperseded:
			return 0, errSuperseded
		}
		s.mu.Lock()
		s.writeStalled = tries >= stalledAfterTries
		s.notifyWaiters()
		s.mu.Unlock()
		if !pause(termCtx, s.options) {
			return 0, errUncertain
		}
	}
}

func (s *shard) send(termCtx context.Context, next write, timeout time.Duration) (effect, int64) {
	ctx, cancel := context.WithTimeout(termCtx, timeout)
	defer cancel()
	swapped, err := s.options.Store.CompareAndSwap(ctx, next.key, next.expectedRevision, next.value)
	result, revision := next.classify(swapped, err)
	if result != effectNeedsRead {
		return result, revision
	}
	var found platform.Entry
	found, err = s.options.Store.Get(ctx, next.key)
	if err != nil {
		return effectUnresolved, 0
	}
	return next.classifyStored(found)
}

// stopHolding ends this node's term as holder. The ring stays readable unless another
// holder may have written to it.
func (s *shard) stopHolding(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holding = false
	s.writeStalled = false
	if cause == errSuperseded {
		s.ring = nil
	}
	s.notifyWaiters()
}
