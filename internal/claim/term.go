package claim

import (
	"context"
	"time"
)

// Term is one grant of a shard's lease.
type Term interface {
	// Epoch grows with each grant.
	Epoch() int64
	// Done is closed when the holder must stop, well before the lease ends by
	// the holder's monotonic clock.
	Done() <-chan struct{}
	// Held tells whether the term may be acted on at now, exact also where
	// Done is not closed yet, as directly after a pause.
	Held(now time.Time) bool
	// Release gives the lease up. It is safe to call after Done.
	Release(ctx context.Context) error
}

// Leases grants leases by name.
type Leases interface {
	// Acquire returns a term, or an error that wraps *platform.HeldError
	// where another node holds the lease. A holder is named as by HolderName,
	// or by its node alone.
	Acquire(ctx context.Context, name string) (Term, error)
}
