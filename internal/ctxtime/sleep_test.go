package ctxtime

import (
	"context"
	"errors"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
)

func TestSleepEndsWithTheTimerOrTheContext(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		begun := time.Now()
		if err := Sleep(t.Context(), time.Second); err != nil || time.Since(begun) != time.Second {
			t.Errorf("error %v after %s, want none after 1s", err, time.Since(begun))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begun = time.Now()
		err := Sleep(ctx, time.Minute)
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(begun) != time.Second {
			t.Errorf("error %v after %s, want the deadline after 1s", err, time.Since(begun))
		}
	})
}
