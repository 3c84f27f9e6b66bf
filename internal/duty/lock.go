package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/platform"
)

// holderRecord is the JSON value of a lock's key.
type holderRecord struct {
	Holder string `json:"holder"`
	// Lease is the store's lease to which the key is attached.
	Lease int64 `json:"lease"`
}

// Lock implements named leases with a key attached to a lease of the store. The epoch of
// a grant is the revision that wrote the key, which is never reused, even after all
// leases have lapsed. Lock implements lease.Store and is safe for concurrent use.
type Lock struct {
	store Store
	clock boottime.Clock
	// contends reports whether this node may try to acquire a lock.
	contends func() bool

	mu sync.Mutex
	// grants are this process's newest grants, by lock name.
	grants map[string]grant
}

// grant is the store's lease under which an epoch was granted.
type grant struct {
	epoch     int64
	lease     int64
	grantedAt boottime.Instant
}

// NewLock returns a lock in the store. While contends returns false, Acquire reports the
// lock as held by another without calling the store.
func NewLock(store Store, clock boottime.Clock, contends func() bool) *Lock {
	return &Lock{store: store, clock: clock, contends: contends, grants: make(map[string]grant)}
}

// Acquire implements lease.Store.
func (l *Lock) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	if !l.contends() {
		return platform.Lease{}, &platform.HeldError{Current: platform.Lease{Name: name}}
	}
	current, err := l.currentGrant(ctx, name)
	if err != nil {
		return platform.Lease{}, err
	}
	if current.Holder != "" && current.Holder != holder {
		return platform.Lease{}, &platform.HeldError{Current: current}
	}
	id, err := l.store.Grant(ctx, ttl)
	if err != nil {
		return platform.Lease{}, err
	}
	grantedAt := l.clock()
	value, err := json.Marshal(holderRecord{Holder: holder, Lease: id})
	if err != nil {
		return platform.Lease{}, fmt.Errorf("encode holder record of %s: %w", name, err)
	}
	// If the answer to an earlier commit was lost, this one replaces that grant.
	epoch, err := l.store.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: name, Revision: current.Epoch}},
		Writes:     []platform.Write{{Key: name, Value: value, Lease: id}},
	})
	if errors.Is(err, platform.ErrConflict) {
		// If this call fails, the unused lease expires by itself.
		return platform.Lease{}, errors.Join(&platform.HeldError{Current: platform.Lease{Name: name}}, l.store.End(ctx, id))
	}
	if err != nil {
		return platform.Lease{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grants[name] = grant{epoch: epoch, lease: id, grantedAt: grantedAt}
	return platform.Lease{Name: name, Holder: holder, Epoch: epoch, TTL: ttl}, nil
}

// currentGrant returns the grant in the store, or the zero Lease if there is none.
func (l *Lock) currentGrant(ctx context.Context, name string) (platform.Lease, error) {
	entry, err := l.store.Get(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Lease{}, nil
	}
	if err != nil {
		return platform.Lease{}, err
	}
	var record holderRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return platform.Lease{}, fmt.Errorf("decode holder record of %s: %w", name, err)
	}
	return platform.Lease{Name: name, Holder: record.Holder, Epoch: entry.Revision}, nil
}

// Renew implements lease.Store.
func (l *Lock) Renew(ctx context.Context, granted platform.Lease) (platform.Lease, error) {
	g, ok := l.findGrant(granted)
	if !ok {
		return platform.Lease{}, platform.ErrNotFound
	}
	return granted, l.store.Renew(ctx, g.lease)
}

// Release implements lease.Store. A grant younger than its TTL is left to expire:
// otherwise the previous holder could return at once, and two nodes could act
// alternately within one TTL.
func (l *Lock) Release(ctx context.Context, granted platform.Lease) error {
	g, ok := l.findGrant(granted)
	if !ok || l.clock().Sub(g.grantedAt) < granted.TTL {
		return nil
	}
	err := l.store.End(ctx, g.lease)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}

// findGrant returns this process's findGrant of the lease, if that is still its newest.
func (l *Lock) findGrant(granted platform.Lease) (grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, ok := l.grants[granted.Name]
	return g, ok && g.epoch == granted.Epoch
}
