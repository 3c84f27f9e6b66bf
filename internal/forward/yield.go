package forward

import (
	"time"

	"galenatrestle/internal/fairshare"
	"galenatrestle/internal/overload"
	"galenatrestle/internal/placement"
)

// setYields sets whether the call yields to others of its tier, and with it the rank with which it is
// placed and sent. It reports whether the call yields: ranks are split only if a part of the settings lets
// calls yield, and if there are not too many.
func (e *exchange) setYields(yields bool) bool {
	options := &e.forwarder.options
	if options.FairShare == nil && options.ObjectivePriority == (overload.ObjectivePriority{}) {
		return false
	}
	r := &e.placementRequest
	r.Rank = fairshare.SplitRank(e.call.Rank, e.call.Ranks, yields)
	r.Yields = yields && r.Rank != fairshare.SplitRank(e.call.Rank, e.call.Ranks, false)
	return r.Yields
}

// yieldIfLate lets the call yield if it is expected to miss its objective at the chosen replica, and
// reports whether a replica has to be chosen anew. Retries and resumed streams do not yield: to end what
// was begun is worth more than to begin another answer.
func (e *exchange) yieldIfLate(a *placement.Attempt) bool {
	r := &e.placementRequest
	if r.Yields || r.PromptTokens == 0 || e.attempts > 1 || e.call.ResumesStream() {
		return false
	}
	request := e.overloadRequest(&a.Choice)
	if !e.forwarder.options.ObjectivePriority.Yields(&request) || !e.setYields(true) {
		return false
	}
	a.End(time.Now(), placement.Cancelled)
	e.forwarder.metrics.yieldingCalls.WithLabelValues(e.call.Upstream).Inc()
	return true
}
