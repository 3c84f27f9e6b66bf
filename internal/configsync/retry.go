package configsync

import (
	"context"
	"errors"
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
