package forward

import (
	"time"

	"galenatrestle/internal/fairshare"
	"galenatrestle/internal/overload"
	"galenatrestle/internal/placement"
)

// applyShare determines the standing of the call's workspace, and from it the rank with which the call is
// placed and sent. It is decided once: the rank of a call does not change between its attempts.
func (e *exchange) applyShare(now time.Time) {
	sharing := e.forwarder.options.FairShare
	if !e.call.ResumesStream() {
		e.standing = sharing.Standing(now, e.call.Upstream, e.call.workspace())
	}
	if e.standing.Above {
		e.forwarder.metrics.callsAboveShare.WithLabelValues(e.call.Upstream).Inc()
	}
	if sharing != nil {
		e.placementRequest.Rank = fairshare.SplitRank(e.call.Rank, e.call.Ranks, e.standing.Above)
		e.placementRequest.Yields = e.standing.Above
	}
}

// observeShare counts the call in its workspace's use, once.
func (e *exchange) observeShare(now time.Time, c *placement.Choice, request *overload.Request, refused bool) {
	if e.shareObserved {
		return
	}
	e.shareObserved = true
	r := &e.placementRequest
	e.forwarder.options.FairShare.Observe(now, fairshare.Call{
		Upstream: e.call.Upstream, Workspace: e.call.workspace(),
		Cost:      fairshare.CallCost(r.PromptTokens, c.CachedTokens, r.AnswerTokens),
		QueuePart: request.QueuePart(), Refused: refused, Above: e.standing.Above,
	})
}
