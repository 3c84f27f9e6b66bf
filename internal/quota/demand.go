package quota

import (
	"time"
)

const (
	// riseTime and fallTime are how fast the demand follows what is asked for:
	// up at once, nearly, and down slowly, since a caller that is refused waits.
	riseTime = 2 * time.Second
	fallTime = 10 * time.Second
	// leastDemand is a demand that counts as none.
	leastDemand = 1e-6
)

// Demand is what callers ask of a workspace's quota at this node.
type Demand struct {
	Workspace string
	// Part is the part of the global quota that is asked for, refused requests
	// included; 1 is the whole quota.
	Part float64
}

// demand measures what is asked for, as parts of the global quota.
type demand struct {
	requests float64
	tokens   float64
	part     float64
	at       time.Time
}

// note counts one request, taken or refused.
func (d *demand) note(u *usage, tokens float64) {
	if u.quota.RequestsPerSecond > 0 {
		d.requests += 1 / u.quota.RequestsPerSecond
	}
	d.correct(u, tokens)
}

// correct counts tokens beyond those noted, or fewer.
func (d *demand) correct(u *usage, tokens float64) {
	if u.quota.TokensPerSecond > 0 {
		d.tokens += tokens / u.quota.TokensPerSecond
	}
}

// update ends a period of measurement.
func (d *demand) update(now time.Time) {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return
	}
	asked := max(d.requests, d.tokens, 0) / elapsed.Seconds()
	follow := fallTime
	if asked > d.part {
		follow = riseTime
	}
	d.part += (asked - d.part) * min(elapsed.Seconds()/follow.Seconds(), 1)
	if d.part < leastDemand {
		d.part = 0
	}
	d.requests, d.tokens, d.at = 0, 0, now
}

// Demands ends a period of measurement and returns the workspaces with a quota
// that were lately asked for. It is meant to be called about once a second.
func (l *Limiter) Demands(now time.Time) []Demand {
	var demands []Demand
	for i := range l.shards {
		demands = l.shards[i].demands(now, demands)
	}
	return demands
}

func (s *shard) demands(now time.Time, demands []Demand) []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	for workspace, u := range s.usages {
		u.demand.update(now)
		if u.demand.part > 0 {
			demands = append(demands, Demand{Workspace: workspace, Part: u.demand.part})
		}
	}
	return demands
}
