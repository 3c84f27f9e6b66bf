package budget

import (
	"context"
	"time"

	"galenatrestle/internal/platform"
)

// Store is a platform.Store within a duty's budget. Besides the inner store's
// errors it returns platform.ErrRateLimited for a call that was not sent.
type Store struct {
	gate  *gate
	inner platform.Store
}

// New returns a store for one duty.
func New(inner platform.Store, config Config, counters *Counters) *Store {
	return &Store{gate: newGate(config, counters), inner: inner}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (entry platform.Entry, err error) {
	err = s.gate.pass(ctx, platform.CallGet, func() error {
		entry, err = s.inner.Get(ctx, key)
		return err
	})
	return entry, err
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) (entries []platform.Entry, revision int64, err error) {
	err = s.gate.pass(ctx, platform.CallList, func() error {
		entries, revision, err = s.inner.List(ctx, prefix)
		return err
	})
	return entries, revision, err
}

// CompareAndSwap implements platform.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (entry platform.Entry, err error) {
	err = s.gate.pass(ctx, platform.CallCompareAndSwap, func() error {
		entry, err = s.inner.CompareAndSwap(ctx, key, expect, value)
		return err
	})
	return entry, err
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	return s.gate.pass(ctx, platform.CallDelete, func() error {
		return s.inner.Delete(ctx, key, expect)
	})
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (batch platform.Batch, err error) {
	err = s.gate.pass(ctx, platform.CallWatch, func() error {
		batch, err = s.inner.Watch(ctx, prefix, after, wait)
		return err
	})
	return batch, err
}

// Acquire implements platform.Store.
func (s *Store) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (lease platform.Lease, err error) {
	err = s.gate.pass(ctx, platform.CallAcquire, func() error {
		lease, err = s.inner.Acquire(ctx, name, holder, ttl)
		return err
	})
	return lease, err
}

// Renew implements platform.Store.
func (s *Store) Renew(ctx context.Context, asked platform.Lease) (lease platform.Lease, err error) {
	err = s.gate.pass(ctx, platform.CallRenew, func() error {
		lease, err = s.inner.Renew(ctx, asked)
		return err
	})
	return lease, err
}

// Release implements platform.Store.
func (s *Store) Release(ctx context.Context, lease platform.Lease) error {
	return s.gate.pass(ctx, platform.CallRelease, func() error {
		return s.inner.Release(ctx, lease)
	})
}
