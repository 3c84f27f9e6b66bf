package gateway

import (
	"context"
	"net/http"
	"time"

	"galenatrestle/internal/answer"
	"galenatrestle/internal/ctxtime"
)

const (
	// resumeGrace is how long a streamed answer goes on after its caller's
	// connection broke, for the caller to come back for the rest.
	resumeGrace = 500 * time.Millisecond
	// resumeCheck is how often it is looked whether it did.
	resumeCheck = 100 * time.Millisecond
)

// linger returns the context of the attempts. It ends when the answer is of no
// more use: at the give-up time, or when the caller is gone. A caller that has
// a part of a stream is held to be gone only after resumeGrace without another
// connection that follows the answer.
func (e *exchange) linger(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), e.call.giveUpAt)
	record := e.record
	stop := context.AfterFunc(r.Context(), func() {
		awaitReturn(ctx, record)
		cancel()
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// awaitReturn returns when nobody has followed the answer for resumeGrace.
func awaitReturn(ctx context.Context, record *answer.Record) {
	if record == nil || !record.Begun() {
		return
	}
	for alone := time.Duration(0); alone < resumeGrace; alone += resumeCheck {
		if ctxtime.Sleep(ctx, resumeCheck) != nil {
			return
		}
		if record.Readers() > 0 {
			alone = 0
		}
	}
}
