package configsync

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"galenatrestle/internal/platform"
)

const (
	// firstDelay and maxDelay bound the wait between tries of one write.
	firstDelay = 50 * time.Millisecond
	maxDelay   = 800 * time.Millisecond
	// maxTries bounds the tries of one call to the platform.
	maxTries = 6
)

// write does one conditional write and finds out whether it took effect: where
// no answer comes it reads the key back, and repeats the write only where the
// key is as before, so that it takes effect once at most. Values are unique, so
// that a key with this value has it by this write. The error is a
// *platform.ConflictError where another write was first, else it holds
// platform.ErrUnavailable where the outcome stays unknown.
func (r *Repository) write(ctx context.Context, key string, expect int64, value []byte) error {
	unanswered := false
	err := retry(ctx, func() error {
		_, err := r.store.CompareAndSwap(ctx, key, expect, value)
		if err == nil || (!unanswered && !errors.Is(err, platform.ErrUnavailable)) {
			return err
		}
		unanswered = true
		return r.readBack(ctx, key, expect, value)
	})
	if err != nil && unanswered && !isConflict(err) {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return err
}

// readBack returns nil where the key has the value, a conflict where it has
// another one than at expect, and ErrUnavailable where it is as before.
func (r *Repository) readBack(ctx context.Context, key string, expect int64, value []byte) error {
	entry, err := r.store.Get(ctx, key)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		entry = platform.Entry{Key: key}
	case err != nil:
		return err
	case bytes.Equal(entry.Value, value):
		return nil
	}
	if entry.Revision != expect {
		return &platform.ConflictError{Key: key, Expect: expect, Current: entry}
	}
	return platform.ErrUnavailable
}

func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

// retry repeats an idempotent call while the platform does not answer or
// refuses for its rate. It returns the last error.
func retry(ctx context.Context, call func() error) error {
	delay := firstDelay
	var err error
	for range maxTries {
		err = call()
		if !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrRateLimited) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delay):
		}
		delay = min(2*delay, maxDelay)
	}
	return err
}
