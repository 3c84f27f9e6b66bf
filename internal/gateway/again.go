package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"galenatrestle/internal/refusal"
	"galenatrestle/internal/retry"
	"galenatrestle/internal/upstream"
)

// again decides whether another attempt follows the failed one. It returns the
// refusal where none does, else it prepares the exchange for it.
func (e *exchange) again(ctx context.Context, err error) *refusal.Error {
	if e.record != nil {
		e.record.Release(e.current)
	}
	var failed *upstream.Error
	if ctx.Err() != nil || !errors.As(err, &failed) || failed.Kind == upstream.Cancelled {
		return e.refusalOf(ctx, err)
	}
	next := e.continuation()
	decision := e.server.options.Retries.Decide(time.Now(), e.retryAttempt(failed, next))
	e.server.metrics.retries.Count(decision)
	e.call.decided(decision)
	if decision.Action == retry.GiveUp {
		decision.Refusal.Cause = err
		return decision.Refusal
	}
	if next == nil {
		e.reset()
		return nil
	}
	e.continues = next
	return nil
}

// retryAttempt is what the decision on another attempt needs to know.
func (e *exchange) retryAttempt(failed *upstream.Error, next *continuation) retry.Attempt {
	a := retry.Attempt{
		Class:        e.call.class.Name,
		Upstream:     e.completion.upstream.Name,
		Result:       retryResult(failed),
		Peer:         failed.Peer,
		Number:       e.attempts,
		NotRunBefore: e.notRun,
		Repeatable:   true,
		Continuable:  next != nil,
		Remaining:    time.Until(e.call.giveUpAt),
	}
	if a.Result == retry.NotRun {
		a.NotRunBefore--
	}
	if e.sink.begun() {
		a.DeliveredTokens = max(1, e.tokens)
	}
	return a
}

// retryResult tells how the attempt ended. An engine's own error is met again
// by another attempt only if the request is at fault.
func retryResult(failed *upstream.Error) retry.Result {
	switch failed.Kind {
	case upstream.NotRun:
		return retry.NotRun
	case upstream.Crashed:
		return retry.Crashed
	case upstream.Timeout:
		return retry.TimedOut
	case upstream.Refused:
		if failed.Status >= http.StatusBadRequest && failed.Status < http.StatusInternalServerError {
			return retry.Rejected
		}
	}
	return retry.Broken
}

// reset forgets attempts of which the caller saw nothing.
func (e *exchange) reset() {
	e.waste("retried")
	e.first = time.Time{}
	e.tokens = 0
	e.continues = nil
	e.sink.reset()
}
