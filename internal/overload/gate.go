package overload

import (
	"sync"
	"time"
)

const (
	// lateFactor times the objective is the expected time to the first token from
	// which a request is refused.
	lateFactor = 1.5
	// queueShare is the part of the time that a caller waits at most which may pass in
	// the queue. While a replica reads what waits there, the answers that run make
	// little way: where each may wait for longer, those with many tokens reach their
	// deadline unfinished.
	queueShare = 0.2
	// leastAllowed is the part of the objective that a request may wait at least: a
	// prompt that is long by itself is no reason to refuse it on an idle replica.
	leastAllowed = 0.25
	// fullFrom is the part of a replica's memory, with each running request's whole
	// prompt counted, from which it gets no more. Replicas that are given more put
	// running requests back and read their prompts again and again.
	fullFrom = 0.75
	// closedFor is how long less urgent requests are refused after a more urgent one
	// was: some rounds of news between nodes, in which the loads that it was refused
	// for become known.
	closedFor = time.Second
	// leastReturn is the shortest time after which a refused caller should come back:
	// some rounds of news between nodes.
	leastReturn = 400 * time.Millisecond
	// returnShare is the part of the time left after which a caller had better not come
	// back: the rest is for its answer. Callers wait no longer than that.
	returnShare = 1.0 / 3
)

// Gate decides for one upstream. It is safe for concurrent use.
type Gate struct {
	mu sync.Mutex
	// refusedRank is the most urgent rank that was refused for its own sake, at
	// refusedAt; zero: none was.
	refusedRank int
	refusedAt   time.Time
}

// Decide says whether the request is let in.
func (g *Gate) Decide(now time.Time, r Request) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	reason := r.reason()
	if reason != "" {
		g.note(now, r.Rank)
	} else if g.closed(now, r.Rank) {
		reason = MoreUrgentRefused
	}
	if reason == "" {
		return Decision{}
	}
	return Decision{Reason: reason, RetryAfter: RetryDelay(r.QueueTime, r.TimeLeft)}
}

// RetryDelay is when a refused caller should come back: when what is ahead of it is over, as
// far as the time left to it allows; zero or less left: not known.
func RetryDelay(ahead, left time.Duration) time.Duration {
	after := max(ahead, leastReturn)
	if left > 0 {
		after = min(after, time.Duration(returnShare*float64(left)))
	}
	return after
}

// reason is why the request is refused for its own sake; empty: it is not.
func (r *Request) reason() Reason {
	switch {
	case r.MemoryUsed > fullFrom:
		return MemoryFull
	case r.Objective > 0 && r.QueueTime > r.allowed():
		return TooLate
	default:
		return ""
	}
}

// allowed is the longest time that the request may wait for its turn.
func (r *Request) allowed() time.Duration {
	whole := time.Duration(lateFactor * float64(r.Objective))
	if r.TimeLeft > 0 {
		whole = min(whole, time.Duration(queueShare*float64(r.TimeLeft)))
	}
	least := time.Duration(leastAllowed * float64(r.Objective))
	return max(whole-r.OwnPrefill, least)
}

// closed says whether requests of the rank are refused for a more urgent one.
func (g *Gate) closed(now time.Time, rank int) bool {
	return rank > g.refusedRank && g.recent(now)
}

// recent says whether a refusal was noted lately.
func (g *Gate) recent(now time.Time) bool {
	return !g.refusedAt.IsZero() && now.Sub(g.refusedAt) < closedFor
}

// note remembers a refusal. One of a less urgent rank does not replace that of a
// more urgent one while it counts.
func (g *Gate) note(now time.Time, rank int) {
	if g.recent(now) && rank > g.refusedRank {
		return
	}
	g.refusedRank, g.refusedAt = rank, now
}
