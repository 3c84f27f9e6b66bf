package claim

import (
	"context"
	"time"
)

// Term is one grant of a shard's lease.
type Term interface {
	// Epoch returns the lease epoch, which increases with each grant.
	Epoch() int64
	// Done returns a channel that is closed when the holder must stop, well before the
	// lease expires by the holder's monotonic clock.
	Done() <-chan struct{}
	// Held reports whether the term is still valid at now. It is exact even if Done is
	// not closed yet, such as directly after the process was paused.
	Held(now time.Time) bool
	// Release releases the lease. It is safe to call after Done is closed.
	Release(ctx context.Context) error
}

// Leases acquires leases by name.
type Leases interface {
	// Acquire returns a term, or an error that wraps *platform.HeldError if another node
	// holds the lease. Holders are named in the format of HolderName, or by node name
	// alone.
	Acquire(ctx context.Context, name string) (Term, error)
}
