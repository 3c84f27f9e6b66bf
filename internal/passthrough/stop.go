package passthrough

import (
	"sync/atomic"
	"time"

	"galenatrestle/internal/forward"
	"galenatrestle/internal/shutdown"
)

// stopState is what a planned stop has begun.
type stopState struct {
	keepAlivesDisabled atomic.Bool
	// refuseStreaming is set once requests to streaming routes are refused.
	refuseStreaming atomic.Bool
	// refuseNew is set once all further requests are refused.
	refuseNew atomic.Bool
	// answerBy is when calls must be answered; nil: the node does not stop.
	answerBy atomic.Pointer[time.Time]
}

// DisableKeepAlives adds Connection: close to all further responses.
func (h *Handler) DisableKeepAlives() { h.stop.keepAlivesDisabled.Store(true) }

// RefuseNew refuses all further requests. If InFlight is zero after it, no request is sent to a replica
// any more.
func (h *Handler) RefuseNew() { h.stop.refuseNew.Store(true) }

// RefuseStreaming refuses further requests to streaming routes, whose responses might not
// end before the process does.
func (h *Handler) RefuseStreaming() { h.stop.refuseStreaming.Store(true) }

// AnswerBy refuses further calls without streams that may not be answered by then. What is sent to a replica
// must not be cut by the end of the process.
func (h *Handler) AnswerBy(t time.Time) { h.stop.answerBy.Store(&t) }

// EndCalls ends the calls in progress; see forward.Forwarder.EndCalls.
func (h *Handler) EndCalls() { h.options.Forwarder.EndCalls() }

// checkStop returns why a stopping node refuses the call, or nil.
func (h *Handler) checkStop(c *forward.Call, now time.Time) *rejection {
	switch answerBy := h.stop.answerBy.Load(); {
	case h.stop.refuseNew.Load(), c.Route.Streaming && h.stop.refuseStreaming.Load():
		return h.stoppingRejection()
	case answerBy == nil || c.Route.Streaming:
		return nil
	default:
		longest, _ := h.answerTimes.Longest(c.Upstream, now)
		if shutdown.Need(c.Deadline.Sub(now), c.Route.Objective, longest) > answerBy.Sub(now) {
			return h.stoppingRejection()
		}
		return nil
	}
}

// stoppingRejection sends the caller to another node, at once if one is known to serve.
func (h *Handler) stoppingRejection() *rejection {
	if h.options.OthersServe() {
		return &stoppingRejection
	}
	return &allStoppingRejection
}

// observeAnswer records how long a replica's answer to a call without a stream took.
func (h *Handler) observeAnswer(c *forward.Call, ending forward.Ending, now time.Time) {
	if !c.Route.Streaming && (ending == forward.EndedComplete || ending == forward.EndedReplicaFailure) {
		h.answerTimes.Observe(c.Upstream, now.Sub(c.Arrived), now)
	}
}
