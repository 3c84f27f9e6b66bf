package placement

import (
	"time"

	"galenatrestle/internal/pause"
	"galenatrestle/internal/ratelimit"
)

// restrictions is what keeps requests from available replicas during one choice: rate limits
// without a permit, and pauses that the replicas asked for.
type restrictions struct {
	permits        *ratelimit.Permits
	limits         map[string]ratelimit.Limit
	pauses         pause.Pauses
	now            time.Time
	excludeLimited bool
}

func (u *upstream) restrictions(now time.Time) restrictions {
	r := restrictions{permits: u.permits, now: now}
	if u.permits != nil {
		r.limits = u.permits.Limits()
	}
	if u.pauses != nil {
		r.pauses = u.pauses.Current()
	}
	return r
}

func (r *restrictions) isLimited(s *replicaState) bool {
	return ratelimit.IsLimited(r.limits, &s.replica)
}

func (r *restrictions) isPaused(s *replicaState) bool {
	return r.pauses.End(&s.replica).After(r.now)
}

// allows reports whether the replica may be chosen: it is not paused, and it is not rate limited
// or a permit may be requested now.
func (r *restrictions) allows(s *replicaState) bool {
	if r.isPaused(s) {
		return false
	}
	return !r.isLimited(s) || !r.excludeLimited && !r.permits.NextAttemptAt(s.replica.ID).After(r.now)
}

// endsAt returns when a request to the restricted replica may be possible.
func (r *restrictions) endsAt(s *replicaState) time.Time {
	end := r.pauses.End(&s.replica)
	if r.isLimited(s) {
		if next := r.permits.NextAttemptAt(s.replica.ID); next.After(end) {
			return next
		}
	}
	return end
}

// Restricted describes the available replicas of an upstream that may get no request now.
type Restricted struct {
	// RateLimited is the number of rate limited replicas that are not paused, Paused that of
	// replicas that asked this node for a pause.
	RateLimited int
	Paused      int
	// NextAt is the earliest time at which a request to any of them may be possible.
	NextAt time.Time
}

// Restricted returns the restricted replicas of the upstream, to explain why Choose found none.
func (p *Placer) Restricted(now time.Time, name string) Restricted {
	u := p.upstream(name)
	u.mu.Lock()
	defer u.mu.Unlock()
	var found Restricted
	current := u.restrictions(now)
	for _, s := range u.available {
		switch {
		case current.isPaused(s):
			found.Paused++
		case current.isLimited(s):
			found.RateLimited++
		default:
			continue
		}
		if next := current.endsAt(s); found.Paused+found.RateLimited == 1 || next.Before(found.NextAt) {
			found.NextAt = next
		}
	}
	return found
}
