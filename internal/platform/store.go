package platform

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value the platform takes.
const MaxValueBytes = 1 << 20

// Entry is one key's state.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store-wide revision of the key's last change; it only
	// grows. Zero means the key does not exist.
	Revision int64 `json:"revision"`
}

// Event is one change seen by a watch.
type Event struct {
	Entry
	Deleted bool `json:"deleted"`
}

// Batch is what one wait of a watch returned.
type Batch struct {
	Events []Event `json:"events"`
	// Revision is the store's revision when the wait ended: the next wait
	// starts after it.
	Revision int64 `json:"revision"`
	// Gap says that changes after the asked revision are no longer known one
	// by one: the watcher must list the prefix again.
	Gap bool `json:"gap"`
}

// Lease is a named right with a growing epoch. The epoch is the fencing number
// of whatever its holder does.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	// Epoch grows by one with each new grant, also to the same holder.
	Epoch int64 `json:"epoch"`
	// TTL is the time the grant lasts from the moment the platform gave it.
	TTL time.Duration `json:"ttl"`
}

// Store is the platform's key-value service. All methods may fail with
// ErrUnavailable, after which a write may or may not have taken effect.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose keys have the prefix, ordered by key,
	// and the store's revision.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// CompareAndSwap writes value if the key's revision is expect (zero: the
	// key must not exist), else it returns a *ConflictError.
	CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (Entry, error)
	// Delete removes the key if its revision is expect, else it returns a
	// *ConflictError.
	Delete(ctx context.Context, key string, expect int64) error
	// Watch waits until a key with the prefix changes after the revision, or
	// until wait has passed, and returns the changes. A waiting watch counts
	// as one call. A revision newer than the store's own (the platform was
	// restored) answers at once with Gap and the store's lower revision.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Batch, error)
	// Acquire grants the lease to holder if it is free or lapsed, or if this
	// same holder has it (a new grant with a new epoch: the way on after a
	// lost answer); else it returns a *HeldError.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// Renew extends a grant by the lease's TTL from now. *HeldError (a newer
	// epoch was granted) or ErrNotFound (it lapsed, was released, or never
	// was) tell that it is lost.
	Renew(ctx context.Context, lease Lease) (Lease, error)
	// Release gives the lease up; a lost lease is no error.
	Release(ctx context.Context, lease Lease) error
}
