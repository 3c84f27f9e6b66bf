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

// holderRecord is the value of a lock's key.
type holderRecord struct {
	Holder string `json:"holder"`
	// Lease is the store's lease under which the key lives.
	Lease int64 `json:"lease"`
}

// Lock is a named lease made of a key under a lease of the store. Its epoch is the
// store's revision of the key's creation, which no other grant ever has, also where all
// leases have lapsed. It implements lease.Store and is safe for concurrent use.
type Lock struct {
	store Store
	clock boottime.Clock
	// contends says whether to ask the store at all.
	contends func() bool

	mu sync.Mutex
	// grants are this process's newest grants, by the lock's name.
	grants map[string]grant
}

// grant is a lease of the store that was taken for an epoch.
type grant struct {
	epoch int64
	lease int64
	since boottime.Instant
}

// NewLock returns a lock in the store. While contends says no, the lock counts as held by
// another without a call of the store.
func NewLock(store Store, clock boottime.Clock, contends func() bool) *Lock {
	return &Lock{store: store, clock: clock, contends: contends, grants: make(map[string]grant)}
}

// Acquire implements lease.Store.
func (l *Lock) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	if !l.contends() {
		return platform.Lease{}, &platform.HeldError{Current: platform.Lease{Name: name}}
	}
	current, err := l.current(ctx, name)
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
	since := l.clock()
	value, err := json.Marshal(holderRecord{Holder: holder, Lease: id})
	if err != nil {
		return platform.Lease{}, fmt.Errorf("record of %s: %w", name, err)
	}
	// A grant whose answer was lost is replaced by this one, with a newer epoch.
	epoch, err := l.store.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: name, Revision: current.Epoch}},
		Writes:     []platform.Write{{Key: name, Value: value, Lease: id}},
	})
	if errors.Is(err, platform.ErrConflict) {
		// The lease that is of no use ends by itself where this call fails.
		return platform.Lease{}, errors.Join(&platform.HeldError{Current: platform.Lease{Name: name}}, l.store.End(ctx, id))
	}
	if err != nil {
		return platform.Lease{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grants[name] = grant{epoch: epoch, lease: id, since: since}
	return platform.Lease{Name: name, Holder: holder, Epoch: epoch, TTL: ttl}, nil
}

// current is the grant that the store has now; empty: none.
func (l *Lock) current(ctx context.Context, name string) (platform.Lease, error) {
	entry, err := l.store.Get(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Lease{}, nil
	}
	if err != nil {
		return platform.Lease{}, err
	}
	var record holderRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return platform.Lease{}, fmt.Errorf("record of %s: %w", name, err)
	}
	return platform.Lease{Name: name, Holder: record.Holder, Epoch: entry.Revision}, nil
}

// Renew implements lease.Store.
func (l *Lock) Renew(ctx context.Context, granted platform.Lease) (platform.Lease, error) {
	g, ok := l.grant(granted)
	if !ok {
		return platform.Lease{}, platform.ErrNotFound
	}
	return granted, l.store.Renew(ctx, g.lease)
}

// Release implements lease.Store. A grant that is younger than its time to live is left
// to lapse: else the holder before could come back at once, and two nodes would act in
// turns within that time.
func (l *Lock) Release(ctx context.Context, granted platform.Lease) error {
	g, ok := l.grant(granted)
	if !ok || l.clock().Sub(g.since) < granted.TTL {
		return nil
	}
	err := l.store.End(ctx, g.lease)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}

// grant is this process's grant of the lease, if it is its newest one.
func (l *Lock) grant(granted platform.Lease) (grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, ok := l.grants[granted.Name]
	return g, ok && g.epoch == granted.Epoch
}
