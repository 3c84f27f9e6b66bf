package placement

import (
	"time"

	"galenatrestle/internal/ratelimit"
)

// rateLimits is what one choice sees of the replicas that name a rate.
type rateLimits struct {
	permits *ratelimit.Permits
	inForce map[string]ratelimit.Limit
	now     time.Time
	// avoid says that the request goes to none of them.
	avoid bool
}

func (u *upstream) rateLimits(now time.Time) rateLimits {
	if u.permits == nil {
		return rateLimits{}
	}
	return rateLimits{permits: u.permits, inForce: u.permits.Limits(), now: now}
}

// apply says whether the replica names a rate.
func (l *rateLimits) apply(s *state) bool { return ratelimit.Limited(l.inForce, &s.replica) }

// allow says whether the replica may be chosen: it names no rate, or a permit of it may be
// asked for.
func (l *rateLimits) allow(s *state) bool {
	return !l.apply(s) || !l.avoid && !l.permits.Next(s.replica.ID).After(l.now)
}

// RateLimited tells of the replicas of an upstream that name rates.
type RateLimited struct {
	// Replicas is their number.
	Replicas int
	// NextPermitAt is when a permit of one of them may be asked for again, the earliest.
	NextPermitAt time.Time
}

// RateLimited tells why Choose found no replica of the upstream, where their rates are the
// reason.
func (p *Placer) RateLimited(now time.Time, name string) RateLimited {
	u := p.upstream(name)
	u.mu.Lock()
	defer u.mu.Unlock()
	var found RateLimited
	limits := u.rateLimits(now)
	for _, s := range u.openNow {
		if !limits.apply(s) {
			continue
		}
		next := u.permits.Next(s.replica.ID)
		if found.Replicas == 0 || next.Before(found.NextPermitAt) {
			found.NextPermitAt = next
		}
		found.Replicas++
	}
	return found
}
