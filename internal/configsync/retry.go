package configsync

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/resolve"
)

const (
	// firstDelay and maxDelay bound the wait between tries of one write.
	firstDelay = 50 * time.Millisecond
	maxDelay   = 800 * time.Millisecond
	// maxTries bounds the tries of one call to the platform.
	maxTries = 6
	// writeTime bounds one write with all that finds out its outcome.
	writeTime = 5 * time.Second
)

// write does one conditional write and finds out whether it took effect, also
// where its answer is lost. It returns the key's entry, a
// *platform.ConflictError where another write was first, and
// ErrUnknownOutcome where the platform stayed out of reach.
func (r *Repository) write(ctx context.Context, write resolve.Write) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	var result resolve.Result
	err := retry(ctx, func() error {
		result = resolve.CompareAndSwap(ctx, r.store, write, resolve.DefaultPauses)
		if result.Outcome == resolve.Unknown {
			return fmt.Errorf("%w: %w", ErrUnknownOutcome, result.Err)
		}
		return result.Err
	})
	return result.Entry, err
}

// uniqueWrite is a write whose whole value is found in no other one.
func uniqueWrite(key string, expect int64, value []byte) resolve.Write {
	return resolve.Write{
		Key: key, Expect: expect, Value: value,
		Contains: func(entry platform.Entry) (bool, error) { return bytes.Equal(entry.Value, value), nil },
		History:  func(platform.Entry) (bool, error) { return false, nil },
	}
}

func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

// retry repeats an idempotent call while the platform does not answer or
// refuses for its rate. It returns the last error. An unknown outcome is final:
// it has been looked into for as long as a call may take.
func retry(ctx context.Context, call func() error) error {
	delay := firstDelay
	var err error
	for range maxTries {
		err = call()
		if errors.Is(err, ErrUnknownOutcome) {
			return err
		}
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
