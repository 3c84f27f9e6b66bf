package overload

import (
	"sync"
	"time"
)

const (
	// objectiveFactor times the objective is the longest accepted time to the first
	// token.
	objectiveFactor = 1.5
	// maxQueueFraction is the fraction of the time left that a request may spend until
	// the end of its prefill. Prefill of queued prompts slows down decoding, so with a
	// larger fraction long responses would miss their deadlines.
	maxQueueFraction = 0.2
	// minQueueFraction is the fraction of the objective that any request may wait in
	// the queue, so that a long prompt is not refused by an idle replica.
	minQueueFraction = 0.25
	// memoryThreshold is the fraction of a replica's memory, counting the whole prompt
	// of each running request, above which it gets no more requests. Beyond it engines
	// preempt running requests and repeat their prefill.
	memoryThreshold = 0.75
	// refusalWindow is how long less urgent requests are refused after a more urgent
	// one was. It covers several load exchanges between nodes.
	refusalWindow = time.Second
	// minRetryDelay is the shortest retry delay, unless the time left is too short for it.
	// It covers several load exchanges between nodes.
	minRetryDelay = 400 * time.Millisecond
	// maxRetryFraction is the largest fraction of the time left to spend on waiting
	// before a retry. The rest is for the response.
	maxRetryFraction = 1.0 / 3
)

// Gate is the admission control of one upstream. It is safe for concurrent use.
type Gate struct {
	mu sync.Mutex
	// withinShare is the last refusal of workspaces within their share, which concerns all requests.
	// aboveShare is that of workspaces above theirs: it concerns only such requests, because one
	// workspace that sends too much says nothing about the room for the others.
	withinShare, aboveShare lastRefusal
}

// Decide admits or refuses the request.
func (g *Gate) Decide(now time.Time, r Request) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	reason := r.refusalReason()
	switch {
	case reason != "" && r.isAboveShare():
		g.aboveShare.record(now, r.Rank)
	case reason != "":
		g.withinShare.record(now, r.Rank)
	case g.withinShare.blocks(now, r.Rank) || r.isAboveShare() && g.aboveShare.blocks(now, r.Rank):
		reason = MoreUrgentRefused
	}
	if reason == "" {
		return Decision{}
	}
	return Decision{Reason: reason, RetryAfter: RetryDelay(r.QueueTime, r.TimeLeft)}
}

// RetryDelay returns how long a refused caller should wait before it retries: the expected
// queue time, but at least minRetryDelay and at most a fraction of the time left. A timeLeft
// of zero or less means that it is unknown.
func RetryDelay(queueTime, timeLeft time.Duration) time.Duration {
	return BoundRetryDelay(max(queueTime, minRetryDelay), timeLeft)
}

// BoundRetryDelay returns the delay, but at most the fraction of the time left that a caller may
// spend on waiting. A timeLeft of zero or less means that it is unknown.
func BoundRetryDelay(delay, timeLeft time.Duration) time.Duration {
	if timeLeft > 0 {
		delay = min(delay, time.Duration(maxRetryFraction*float64(timeLeft)))
	}
	return delay
}

// refusalReason returns why the request is refused regardless of other requests, or the empty
// reason if it is not refused.
func (r *Request) refusalReason() Reason {
	switch {
	case r.MemoryUsed > r.allowedMemory():
		return MemoryFull
	case r.Objective > 0 && r.QueueTime+r.reserved() > r.allowedQueueTime():
		return TooLate
	case r.Objective > 0 && r.isAboveShare() && r.QueuePart() > r.Share:
		return AboveShare
	default:
		return ""
	}
}

// isAboveShare reports whether the request's workspace is above its share.
func (r *Request) isAboveShare() bool { return r.Share > 0 && r.Share < 1 }

// QueuePart returns the expected queue time divided by the longest that is allowed to a workspace within
// its share; zero without an objective.
func (r *Request) QueuePart() float64 {
	if r.Objective <= 0 {
		return 0
	}
	return float64(r.QueueTime) / float64(r.allowedQueueTime())
}

// allowedQueueTime returns the longest time that a request of a workspace within its share may wait for
// its prefill.
func (r *Request) allowedQueueTime() time.Duration {
	factor, fraction := r.queueLimits()
	maxTotal := time.Duration(factor * float64(r.Objective))
	if r.TimeLeft > 0 {
		maxTotal = min(maxTotal, time.Duration(fraction*float64(r.TimeLeft)))
	}
	minAllowed := time.Duration(minQueueFraction * float64(r.Objective))
	return max(maxTotal-r.OwnPrefill, minAllowed)
}
