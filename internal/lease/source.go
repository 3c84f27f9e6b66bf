package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
)

// Store is the part of platform.Store that leases need.
type Store interface {
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error)
	Renew(ctx context.Context, lease platform.Lease) (platform.Lease, error)
	Release(ctx context.Context, lease platform.Lease) error
}

// Observer is told of a term's grants and looks at the clock, as they happen;
// its calls must not block.
type Observer interface {
	// Renewed tells of an acquire or a renewal that was sent at asked.
	Renewed(lease platform.Lease, asked time.Time)
	// Beat tells of a look at the clock that found the term in force.
	Beat()
	// Lost tells that the term ended.
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
	// terms are those that this process holds.
	terms map[*Term]struct{}
}

// NewSource returns a source. The holder names this run of this process: no
// other process, nor an earlier run on the same VM, may use it, since the
// platform grants a lease to the one that holds it already. now must carry the
// monotonic clock, as time.Now does.
func NewSource(store Store, holder string, settings Settings, metrics *Metrics, now func() time.Time) (*Source, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Source{store: store, holder: holder, settings: settings, metrics: metrics, now: now, terms: make(map[*Term]struct{})}, nil
}

// errTooLate says that a grant's answer came when it was no longer usable.
var errTooLate = errors.New("lease: the answer came too late to act on the grant")

// Acquire asks once for the lease and returns its term, which is renewed until
// it ends or is released; ctx bounds the asking alone. It returns a *platform.HeldError where another has the lease. After
// any other error the lease may have been granted, at an epoch that nobody
// knows and nobody acts on; a later Acquire gets a newer one.
func (s *Source) Acquire(ctx context.Context, name string, observers ...Observer) (*Term, error) {
	const step = "acquire lease"
	asked := s.now()
	call, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	granted, err := s.store.Acquire(call, name, s.holder, s.settings.TTL)
	if err != nil {
		s.metrics.failed.WithLabelValues(string(platform.CallAcquire)).Inc()
		return nil, errs.Wrap(errs.Platform, err, step, name)
	}
	g := newGrant(s.settings, granted, asked, s.now())
	if g.end != "" {
		s.metrics.failed.WithLabelValues(string(platform.CallAcquire)).Inc()
		return nil, errs.Wrap(errs.Platform, errTooLate, step, name)
	}
	s.metrics.gained.Inc()
	return startTerm(s, g, observers), nil
}
