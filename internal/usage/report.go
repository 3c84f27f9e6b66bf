package usage

import (
	"context"

	"galenatrestle/internal/duty"
)

// Report is the usage of all nodes in one window.
type Report struct {
	Window   int64
	Requests Counts
}

// Platform accepts reports. An error that wraps platform.ErrConflict means that a later
// holder has sent reports. After platform.ErrUnavailable the report may have been accepted.
type Platform interface {
	Report(ctx context.Context, term duty.Term, r Report) error
}
