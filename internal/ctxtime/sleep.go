// Package ctxtime waits for a time that a context can end, and compares times. It holds no state.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends; then it returns ctx's error.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
