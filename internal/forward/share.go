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
		e.placementRequest.Rank = sharedRank(e.call.Rank, e.call.Ranks, e.standing.Above)
	}
}

// sharedRank returns the rank that replicas get. Each rank is split into two, of which the less urgent one
// is for workspaces above their share: they wait for others of the same tier, and never for the next tier.
// If the ranks do not fit when split, all calls keep theirs.
func sharedRank(rank, ranks int, above bool) int {
	if ranks == 0 || 2*ranks > placement.Ranks {
		return rank
	}
	if above {
		return 2*rank + 1
	}
	return 2 * rank
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
		QueuePart: request.QueuePart(), Refused: refused,
	})
}
