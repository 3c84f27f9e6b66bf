package ratelimit

import (
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/replica"
)

// presumptionTTL is how long replicas that nothing is known of are presumed brittle after another of
// their upstream last said so.
const presumptionTTL = 30 * time.Second

// Limits are the limits of all replicas at an instant. The zero value has none.
type Limits struct {
	known *knownLimits
	now   boottime.Instant
}

// knownLimits is what is known of replicas and upstreams. It is immutable.
type knownLimits struct {
	// byReplica also has the lifted limits, inForce only the others.
	byReplica, inForce map[string]Limit
	// byUpstream is the newest that any replica of the upstream said of being brittle.
	byUpstream map[string]Limit
}

// Of returns the limit of the replica; false: it has none. A process that no response was received of
// is presumed brittle if others of its upstream are, since requests that come as soon as it is back
// would end it.
func (l Limits) Of(r *replica.Replica) (Limit, bool) {
	if l.known == nil {
		return Limit{}, false
	}
	if limit, known := l.known.byReplica[r.ID]; known && limit.isOf(r.Process()) {
		return limit, limit.inForce()
	}
	news, known := l.known.byUpstream[r.Upstream]
	if !known || !isPresumed(&news, l.now) {
		return Limit{}, false
	}
	return Limit{Replica: r.ID, StartedAt: r.StartedAt, Upstream: r.Upstream, Lifted: true, Brittle: news.Brittle, ObservedAt: news.ObservedAt}, true
}

// isPresumed reports whether replicas of the upstream that nothing is known of are presumed brittle.
func isPresumed(news *Limit, now boottime.Instant) bool {
	return news.Brittle.Brittle && now.Sub(news.ObservedAt) < presumptionTTL
}
