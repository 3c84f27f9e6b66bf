package memstore

import (
	"context"
	"errors"
	"time"

	"galenatrestle/internal/platform"
)

// ErrBadTTL says that a lease was asked for without a positive TTL.
var ErrBadTTL = errors.New("lease TTL must be positive")

// grant is the newest grant of a named lease. It stays after its end, so that
// epochs go on growing.
type grant struct {
	lease platform.Lease
	ends  time.Time
}

// held tells whether the grant lasts at now.
func (g *grant) held(now time.Time) bool { return now.Before(g.ends) }

// Acquire implements platform.Store.
func (s *Store) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	return s.leaseCall(ctx, platform.CallAcquire, func(now time.Time) (platform.Lease, error) {
		return s.grant(platform.Lease{Name: name, Holder: holder, TTL: ttl}, now)
	})
}

// Renew implements platform.Store.
func (s *Store) Renew(ctx context.Context, lease platform.Lease) (platform.Lease, error) {
	return s.leaseCall(ctx, platform.CallRenew, func(now time.Time) (platform.Lease, error) {
		return s.extend(lease, now)
	})
}

// Release implements platform.Store.
func (s *Store) Release(ctx context.Context, lease platform.Lease) error {
	_, err := s.leaseCall(ctx, platform.CallRelease, func(now time.Time) (platform.Lease, error) {
		s.giveUp(lease, now)
		return platform.Lease{}, nil
	})
	return err
}

// leaseCall runs the effect of a lease call under the lock.
func (s *Store) leaseCall(ctx context.Context, call platform.Call, effect func(now time.Time) (platform.Lease, error)) (platform.Lease, error) {
	if err := s.begin(ctx, call); err != nil {
		return platform.Lease{}, err
	}
	s.mu.Lock()
	lease, err := effect(time.Now())
	s.mu.Unlock()
	if lost := s.finish(call); lost != nil {
		return platform.Lease{}, lost
	}
	if err != nil {
		return platform.Lease{}, s.fail(call, err)
	}
	return lease, nil
}

// grant is the effect of Acquire; s.mu is held.
func (s *Store) grant(asked platform.Lease, now time.Time) (platform.Lease, error) {
	if asked.TTL <= 0 {
		return platform.Lease{}, ErrBadTTL
	}
	last, ok := s.leases[asked.Name]
	if !ok {
		last = &grant{}
		s.leases[asked.Name] = last
	}
	if last.held(now) && last.lease.Holder != asked.Holder {
		return platform.Lease{}, &platform.HeldError{Current: last.lease}
	}
	asked.Epoch = last.lease.Epoch + 1
	last.lease = asked
	last.ends = now.Add(asked.TTL)
	return asked, nil
}

// extend is the effect of Renew; s.mu is held.
func (s *Store) extend(lease platform.Lease, now time.Time) (platform.Lease, error) {
	last, ok := s.leases[lease.Name]
	if !ok || !last.held(now) {
		return platform.Lease{}, platform.ErrNotFound
	}
	if !sameGrant(last.lease, lease) {
		return platform.Lease{}, &platform.HeldError{Current: last.lease}
	}
	if lease.TTL <= 0 {
		return platform.Lease{}, ErrBadTTL
	}
	last.lease.TTL = lease.TTL
	last.ends = now.Add(lease.TTL)
	return last.lease, nil
}

// giveUp is the effect of Release; s.mu is held.
func (s *Store) giveUp(lease platform.Lease, now time.Time) {
	last, ok := s.leases[lease.Name]
	if ok && sameGrant(last.lease, lease) && last.held(now) {
		last.ends = now
	}
}

// sameGrant tells whether two leases are one grant.
func sameGrant(a, b platform.Lease) bool {
	return a.Holder == b.Holder && a.Epoch == b.Epoch
}

// LapseLease ends a held lease early; an empty name ends all. It returns how
// many ended.
func (s *Store) LapseLease(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ended := 0
	for leaseName, last := range s.leases {
		if (name == "" || name == leaseName) && last.held(now) {
			last.ends = now
			ended++
		}
	}
	return ended
}

// Lease returns the newest grant of the name and whether it is held now. It is
// the ground truth for tests and counts as no call.
func (s *Store) Lease(name string) (platform.Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.leases[name]
	if !ok {
		return platform.Lease{}, false
	}
	return last.lease, last.held(time.Now())
}
