package placement

import (
	"time"

	"galenatrestle/internal/ratelimit"
)

// rateLimits is the state of the rate limited replicas during one choice.
type rateLimits struct {
	permits        *ratelimit.Permits
	limits         map[string]ratelimit.Limit
	now            time.Time
	excludeLimited bool
}

func (u *upstream) rateLimits(now time.Time) rateLimits {
	if u.permits == nil {
		return rateLimits{}
	}
	return rateLimits{permits: u.permits, limits: u.permits.Limits(), now: now}
}

func (l *rateLimits) isLimited(s *replicaState) bool {
	return ratelimit.IsLimited(l.limits, &s.replica)
}

// allows reports whether the replica may be chosen: it is not rate limited, or a permit may be
// requested now.
func (l *rateLimits) allows(s *replicaState) bool {
	return !l.isLimited(s) || !l.excludeLimited && !l.permits.NextAttemptAt(s.replica.ID).After(l.now)
}

// RateLimited describes the rate limited replicas of an upstream.
type RateLimited struct {
	// Replicas is their number.
	Replicas int
	// NextPermitAt is the earliest time at which a permit for any of them may be requested.
	NextPermitAt time.Time
}

// RateLimited returns the rate limited replicas of the upstream, to explain why Choose found
// none.
func (p *Placer) RateLimited(now time.Time, name string) RateLimited {
	u := p.upstream(name)
	u.mu.Lock()
	defer u.mu.Unlock()
	var found RateLimited
	limits := u.rateLimits(now)
	for _, s := range u.available {
		if !limits.isLimited(s) {
			continue
		}
		next := u.permits.NextAttemptAt(s.replica.ID)
		if found.Replicas == 0 || next.Before(found.NextPermitAt) {
			found.NextPermitAt = next
		}
		found.Replicas++
	}
	return found
}
