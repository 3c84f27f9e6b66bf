package platform

import (
	"errors"
	"fmt"
)

// Sentinel errors of the store.
var (
	// ErrNotFound says that the key or lease does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable says that no answer came; a write may have taken effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrRateLimited says that the platform refused the call before doing it.
	ErrRateLimited = errors.New("platform: rate limited")
	// ErrConflict says that a condition of a transaction did not hold: it certainly did
	// nothing.
	ErrConflict = errors.New("platform: a condition does not hold")
	// ErrCompacted says that the store no longer has the changes after the revision.
	ErrCompacted = errors.New("platform: history is no longer available")
	// ErrTooLarge says that a value is over MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
)

// ConflictError says that a conditional write found another revision and
// certainly did nothing.
type ConflictError struct {
	Key    string
	Expect int64
	// Current is the entry as found; its Revision is zero if the key is absent.
	Current Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: key %s is at revision %d, not %d", e.Key, e.Current.Revision, e.Expect)
}

// HeldError says that another holder or a newer epoch has the lease.
type HeldError struct {
	Current Lease
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("platform: lease %s is held by %s at epoch %d", e.Current.Name, e.Current.Holder, e.Current.Epoch)
}
