package placement

import (
	"time"

	"galenatrestle/internal/pause"
	"galenatrestle/internal/ratelimit"
)

// restrictions is what keeps requests from available replicas during one choice: limits
// without a permit, and pauses that the replicas asked for.
type restrictions struct {
	permits        *ratelimit.Permits
	limits         ratelimit.Limits
	pauses         pause.Pauses
	now            time.Time
	excludeLimited bool
	awaitsSlot     bool
	// latestPauseEnd is when the last pause that an available replica asked for ends; zero: none did.
	latestPauseEnd time.Time
}

// minUnanswered is the number of attempts in a row without a response from which a replica may be
// presumed to be paused.
const minUnanswered = 2

func (u *upstream) restrictions(now time.Time) restrictions {
	r := restrictions{permits: u.permits, now: now}
	if u.permits != nil {
		r.limits = u.permits.Limits()
	}
	if u.pauses != nil {
		r.pauses = u.pauses.Current()
		r.latestPauseEnd = r.latestEnd(u.available)
	}
	return r
}

// latestEnd returns when the last pause of the replicas ends; zero if none is paused.
func (r *restrictions) latestEnd(states []*replicaState) time.Time {
	var latest time.Time
	if len(r.pauses) == 0 {
		return latest
	}
	for _, s := range states {
		if end := r.pauses.End(&s.replica); end.After(r.now) && end.After(latest) {
			latest = end
		}
	}
	return latest
}

func (r *restrictions) isLimited(s *replicaState) bool {
	_, limited := r.limits.Of(&s.replica)
	return limited
}

func (r *restrictions) isBrittle(s *replicaState) bool {
	limit, limited := r.limits.Of(&s.replica)
	return limited && limit.Brittle.Brittle
}

func (r *restrictions) isPaused(s *replicaState) bool { return r.pauseEnd(s).After(r.now) }

// pauseEnd returns when the replica's pause ends, whether it asked for it or is presumed to have.
func (r *restrictions) pauseEnd(s *replicaState) time.Time {
	if end := r.pauses.End(&s.replica); end.After(s.presumedPauseEnd) {
		return end
	}
	return s.presumedPauseEnd
}

// presumePauses takes replicas that do not respond to be paused like the others of the upstream, whose
// pauses are known: their own refusals may have been lost on the way. Each further attempt without a
// response prolongs it, up to the pauses that are known then. The lock is held.
func (u *upstream) presumePauses(r *restrictions) {
	if r.latestPauseEnd.IsZero() {
		return
	}
	for _, s := range u.available {
		if s.unanswered >= minUnanswered && s.unanswered != s.presumedAt {
			s.presumedAt, s.presumedPauseEnd = s.unanswered, r.latestPauseEnd
		}
	}
}

// allows reports whether the replica may be chosen: it is not paused, and it is not limited
// or a permit may be requested now.
func (r *restrictions) allows(s *replicaState) bool {
	if r.isPaused(s) {
		return false
	}
	limit, limited := r.limits.Of(&s.replica)
	switch {
	case !limited:
		return true
	case r.excludeLimited:
		return false
	case r.awaitsSlot && limit.Lifted:
		return !r.permits.NextWaitAt(s.replica.ID).After(r.now)
	default:
		return !r.permits.NextAttemptAt(s.replica.ID).After(r.now)
	}
}

// waitingCost is the cost, in milliseconds, of each request of this node that waits for a slot already.
const waitingCost = 20.0

// slotWaitMS returns the cost, in milliseconds, of waiting for a slot of the brittle replica: the time that this node
// was told, and more for each of its requests that wait already.
func (r *restrictions) slotWaitMS(s *replicaState) float64 {
	told := r.permits.ExpectedWait(s.replica.ID, r.now)
	return 1e3*told.Seconds() + waitingCost*float64(r.permits.Waiting(s.replica.Process()))
}

// endsAt returns when a request to the restricted replica may be possible.
func (r *restrictions) endsAt(s *replicaState) time.Time {
	end := r.pauseEnd(s)
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
	// replicas that asked this node for a pause, and PresumedPaused that of replicas that do not
	// respond and are taken to be paused like the others.
	RateLimited    int
	Paused         int
	PresumedPaused int
	// Full is the number of brittle replicas that are not paused.
	Full int
	// NextAt is the earliest time at which a request to any of them may be possible.
	NextAt time.Time
}

func (r *Restricted) count() int { return r.RateLimited + r.Paused + r.PresumedPaused + r.Full }

// Restricted returns the restricted replicas of the upstream, to explain why Choose found none for the
// request.
func (p *Placer) Restricted(now time.Time, name string, r *Request) Restricted {
	u := p.upstream(name)
	u.mu.Lock()
	defer u.mu.Unlock()
	var found Restricted
	current := u.restrictions(now)
	for _, s := range u.available {
		switch {
		case !r.fits(s):
			continue
		case current.pauses.End(&s.replica).After(now):
			found.Paused++
		case current.isPaused(s):
			found.PresumedPaused++
		case current.isBrittle(s):
			found.Full++
		case current.isLimited(s):
			found.RateLimited++
		default:
			continue
		}
		if next := current.endsAt(s); found.count() == 1 || next.Before(found.NextAt) {
			found.NextAt = next
		}
	}
	return found
}
