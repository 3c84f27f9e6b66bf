package duty

import (
	"context"
	"time"

	"galenatrestle/internal/platform"
)

// Store is the part of the platform's store that duties use. Reads are linearizable.
type Store interface {
	// Get returns the key's entry, or platform.ErrNotFound.
	Get(ctx context.Context, key string) (platform.Entry, error)
	// Grant creates a lease, Renew extends it and End revokes it. Renew and End return
	// platform.ErrNotFound if it has ended.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	Renew(ctx context.Context, lease int64) error
	End(ctx context.Context, lease int64) error
	// Commit applies the transaction and returns its revision, or platform.ErrConflict.
	Commit(ctx context.Context, t platform.Transaction) (revision int64, err error)
}
