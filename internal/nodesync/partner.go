package nodesync

import (
	"time"

	"galenatrestle/internal/boottime"
)

// partnerTime is how long a node calls the same random node. Calling another one each time would
// open connections to a large part of the fleet, at both ends.
const partnerTime = 5 * time.Second

// partner is a random node that is called for a while.
type partner struct {
	target   target
	chosenAt boottime.Instant
}

// partnerOf returns the partner, after choosing another one of the accepted nodes if it is due or
// the partner is silent. The result is false if no accepted node is alive.
func (s *Sync) partnerOf(p *partner, now boottime.Instant, accept func(*record) bool) (target, bool) {
	s.mu.Lock()
	current := *p
	s.mu.Unlock()
	alive := func(r *record) bool { return r.seenWithin(aliveTimeout, now) && accept(r) }
	due := current.chosenAt == 0 || now.Sub(current.chosenAt) >= partnerTime
	if !due && s.options.Nodes.is(current.target.name, func(r *record) bool { return r.retained(now) && !r.failed && accept(r) }) {
		return current.target, true
	}
	sampled := s.options.Nodes.sample(1, s.intN, alive)
	if len(sampled) == 0 {
		return target{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	*p = partner{target: targetOf(sampled[0]), chosenAt: now}
	return p.target, true
}
