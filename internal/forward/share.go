package forward

import (
	"time"

	"galenatrestle/internal/fairshare"
	"galenatrestle/internal/overload"
	"galenatrestle/internal/placement"
)

// applyShare determines the standing of the call's workspace, once. A call of a workspace above its share
// yields.
func (e *exchange) applyShare(now time.Time) {
	sharing := e.forwarder.options.FairShare
	if !e.call.ResumesStream() {
		e.standing = sharing.Standing(now, e.call.Upstream, e.call.workspace())
	}
	if e.standing.Above {
		e.forwarder.metrics.callsAboveShare.WithLabelValues(e.call.Upstream).Inc()
	}
	e.setYields(e.standing.Above)
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
