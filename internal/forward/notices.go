package forward

import (
	"errors"
	"net/http"
	"time"

	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

// Values of replicaNotice.notice, also used in metrics.
const (
	noticeLeaving = "leaving"
	noticePause   = "pause"
	noticeBrittle = "brittle"
)

// unusable returns why the chosen replica must get no request after all, or nil.
func (f *Forwarder) unusable(r *replica.Replica) error {
	now := time.Now()
	switch {
	case !f.options.Replicas.Usable(r.ID):
		return errDraining
	case f.options.Pauses.Current().End(r).After(now):
		return errReplicaPaused
	default:
		return nil
	}
}

var errReplicaPaused = errors.New("replica asked for a pause")

// recordNotices records what the response says about the replica itself.
func (a *attempt) recordNotices() {
	if a.response.StatusCode == http.StatusMisdirectedRequest {
		// A different process answered at this address.
		return
	}
	a.updateLimit()
	if a.headers.Leaving {
		a.exchange.forwarder.options.Replicas.MarkLeaving(&a.placementAttempt.Replica)
		a.logNotice(noticeLeaving)
	}
	if a.asksForPause() {
		a.exchange.forwarder.options.Pauses.Begin(time.Now(), a.placementAttempt.Replica.Process(), a.headers.RetryAfter)
		a.logNotice(noticePause)
	}
}

// asksForPause reports whether the replica refused the request and asks for a time without
// further ones.
func (a *attempt) asksForPause() bool {
	refused := isNotExecuted(a.response, a.headers) || a.response.StatusCode == http.StatusServiceUnavailable
	return refused && a.headers.RetryAfter > 0
}

func (a *attempt) logNotice(notice string) {
	f := a.exchange.forwarder
	f.metrics.replicaNotices.WithLabelValues(a.exchange.call.Upstream, notice).Inc()
	listing, readAt := f.options.Replicas.Latest()
	f.options.Log.Write(&replicaNotice{attempt: a, notice: notice, revision: listing.Revision, age: f.options.RateLimits.Now().Sub(readAt)})
}

func (a *attempt) updateLimit() {
	f := a.exchange.forwarder
	limit, changed := f.options.RateLimits.Observe(ratelimit.Observation{
		Replica: a.placementAttempt.Replica, Limited: a.headers.RateLimited, PerSecond: a.headers.RateLimit, Brittle: a.headers.Brittle,
		Succeeded: a.headers.Stamped && a.response.StatusCode < http.StatusMultipleChoices,
		SentAt:    a.sentAt, ReceivedAt: f.options.RateLimits.Now(),
	})
	if !changed {
		return
	}
	f.options.Log.Write(&ratelimit.LimitChanged{Limit: limit, Request: a.exchange.call.ID})
	if a.headers.Brittle.Brittle {
		a.logNotice(noticeBrittle)
	}
}
