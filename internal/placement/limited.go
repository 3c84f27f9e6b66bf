package placement

import (
	"time"

	"galenatrestle/internal/ratelimit"
)

// limited is what one choice sees of the replicas that name a rate.
type limited struct {
	permits *ratelimit.Permits
	limits  map[string]ratelimit.Limit
	now     time.Time
	// none says that the request goes to none of them.
	none bool
}

func (u *upstream) newLimited(now time.Time) limited {
	if u.permits == nil {
		return limited{}
	}
	return limited{permits: u.permits, limits: u.permits.Limits(), now: now}
}

// named says whether the replica names a rate.
func (l *limited) named(s *state) bool { return ratelimit.Limited(l.limits, &s.replica) }

// allow says whether the replica may be chosen: it names no rate, or a permit of it may be
// asked for.
func (l *limited) allow(s *state) bool {
	return !l.named(s) || !l.none && !l.permits.Next(s.replica.ID).After(l.now)
}

// Held tells of the replicas of an upstream that name rates.
type Held struct {
	// Replicas is their number.
	Replicas int
	// Next is when a permit of one of them may be asked for again, the earliest.
	Next time.Time
}

// Held tells why Choose found no replica of the upstream, where their rates are the reason.
func (p *Placer) Held(now time.Time, name string) Held {
	u := p.upstream(name)
	u.mu.Lock()
	defer u.mu.Unlock()
	var h Held
	limits := u.newLimited(now)
	for _, s := range u.openNow {
		if !limits.named(s) {
			continue
		}
		next := u.permits.Next(s.replica.ID)
		if h.Replicas == 0 || next.Before(h.Next) {
			h.Next = next
		}
		h.Replicas++
	}
	return h
}
