package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
)

// Store is the part of platform.Store that leases use.
type Store interface {
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error)
	Renew(ctx context.Context, lease platform.Lease) (platform.Lease, error)
	Release(ctx context.Context, lease platform.Lease) error
}

// Observer receives a term's events as they happen. Its methods must not block.
type Observer interface {
	// Renewed is called after a successful acquire or renewal that was sent at sentAt.
	Renewed(lease platform.Lease, sentAt time.Time)
	// Beat is called after each clock check that found the term in force.
	Beat()
	// Lost is called when the term has ended.
	Lost()
}

// Source acquires leases for one process. It is safe for concurrent use.
type Source struct {
	store    Store
	holder   string
	settings Settings
	metrics  *Metrics
	now      func() time.Time

	mu sync.Mutex
	// terms are the terms that have not ended.
	terms map[*Term]struct{}
}

// NewSource returns a source. The holder must be unique to this run of this
// process, also among earlier runs on the same VM, since the platform grants a
// lease again to its current holder. now must include a monotonic reading, as
// time.Now does.
func NewSource(store Store, holder string, settings Settings, metrics *Metrics, now func() time.Time) (*Source, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Source{store: store, holder: holder, settings: settings, metrics: metrics, now: now, terms: make(map[*Term]struct{})}, nil
}

// errTooLate means that a grant was no longer usable when its answer arrived.
var errTooLate = errors.New("lease: the grant was no longer usable when its answer arrived")

// Acquire tries once to acquire the lease and returns its term, which is
// renewed until it ends or is released; ctx bounds this call alone. It returns
// a *platform.HeldError if another process holds the lease. After any other
// error the lease may have been granted, at an epoch that no one acts on; a
// later Acquire gets a newer one.
func (s *Source) Acquire(ctx context.Context, name string, observers ...Observer) (*Term, error) {
	const step = "acquire lease"
	sentAt := s.now()
	call, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	granted, err := s.store.Acquire(call, name, s.holder, s.settings.TTL)
	if err != nil {
		s.metrics.failed.WithLabelValues(string(platform.CallAcquire)).Inc()
		return nil, errs.Wrap(errs.Platform, err, step, name)
	}
	g := newGrant(s.settings, granted, sentAt, s.now())
	if g.endReason != "" {
		s.metrics.failed.WithLabelValues(string(platform.CallAcquire)).Inc()
		return nil, errs.Wrap(errs.Platform, errTooLate, step, name)
	}
	s.metrics.gained.Inc()
	return startTerm(s, g, observers), nil
}
