package gateway

import (
	"context"
	"errors"

	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
	"galenatrestle/internal/upstream"
)

// refusalOf says why the request was given up and whether it may have run.
func (e *exchange) refusalOf(ctx context.Context, err error) *refusal.Error {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		refused.Outcome = e.outcome()
		return refused
	}
	refused = &refusal.Error{
		Outcome: e.outcome(),
		Message: "there is no whole answer",
		Step:    "answer",
		Cause:   err,
	}
	var failed *upstream.Error
	if errors.As(err, &failed) {
		refused.Step = failed.Step
		refused.Peer = failed.Peer
	}
	refused.Reason = reasonOf(ctx, err)
	return refused
}

// outcome is NotRun only where no attempt may have run.
func (e *exchange) outcome() refusal.Outcome {
	if e.attempts > e.notRun {
		return refusal.Unknown
	}
	return refusal.NotRun
}

// reasonOf names why an attempt's error ended the request.
func reasonOf(ctx context.Context, err error) refusal.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.UpstreamTimeout
	}
	if ctx.Err() != nil {
		return refusal.CallerGone
	}
	var failed *upstream.Error
	if !errors.As(err, &failed) {
		return refusal.Internal
	}
	switch failed.Kind {
	case upstream.NotRun, upstream.Refused:
		return refusal.UpstreamRefused
	case upstream.Timeout:
		return refusal.UpstreamTimeout
	default:
		return refusal.UpstreamFailed
	}
}

// resultOf tells the decisions how an attempt ended.
func resultOf(err error) router.Result {
	var failed *upstream.Error
	switch {
	case err == nil:
		return router.ResultDone
	case !errors.As(err, &failed):
		return router.ResultCancelled
	case failed.Kind == upstream.NotRun:
		return router.ResultNotRun
	case failed.Kind == upstream.Crashed:
		return router.ResultCrashed
	case failed.Kind == upstream.Cancelled:
		return router.ResultCancelled
	default:
		return router.ResultFailed
	}
}
