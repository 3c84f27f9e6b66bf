package usage

import (
	"context"

	"galenatrestle/internal/duty"
)

// Report is what the platform is told of one window.
type Report struct {
	Window   int64
	Requests Counts
}

// Platform takes reports. An error that wraps platform.ErrConflict says that a later
// holder has reported; after platform.ErrUnavailable the report may have been taken.
type Platform interface {
	Report(ctx context.Context, term duty.Term, r Report) error
}
