package quota

import (
	"time"
)

const (
	// riseTime and fallTime are the smoothing time constants for rising and
	// falling demand. Demand falls slowly because refused callers back off
	// before they retry.
	riseTime = 2 * time.Second
	fallTime = 10 * time.Second
	// minDemand is the value below which smoothed demand is set to zero.
	minDemand = 1e-6
)

// Demand is the demand for a workspace's quota at this node.
type Demand struct {
	Workspace string
	// Part is the demand as a fraction of the global quota, including refused
	// requests; 1 is the whole quota.
	Part float64
}

// demand measures the requested rate as a fraction of the global quota.
type demand struct {
	requests  float64
	tokens    float64
	smoothed  float64
	updatedAt time.Time
}

// record counts one request, admitted or refused.
func (d *demand) record(u *usage, tokens float64) {
	if u.quota.RequestsPerSecond > 0 {
		d.requests += 1 / u.quota.RequestsPerSecond
	}
	d.correct(u, tokens)
}

// correct adds the difference between used and estimated tokens.
func (d *demand) correct(u *usage, tokens float64) {
	if u.quota.TokensPerSecond > 0 {
		d.tokens += tokens / u.quota.TokensPerSecond
	}
}

// update ends the measurement interval and updates the smoothed demand.
func (d *demand) update(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	asked := max(d.requests, d.tokens, 0) / elapsed.Seconds()
	follow := fallTime
	if asked > d.smoothed {
		follow = riseTime
	}
	d.smoothed += (asked - d.smoothed) * min(elapsed.Seconds()/follow.Seconds(), 1)
	if d.smoothed < minDemand {
		d.smoothed = 0
	}
	d.requests, d.tokens, d.updatedAt = 0, 0, now
}

// Demands ends the measurement interval and returns the workspaces with nonzero
// demand. Call it about once per second.
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
		if u.demand.smoothed > 0 {
			demands = append(demands, Demand{Workspace: workspace, Part: u.demand.smoothed})
		}
	}
	return demands
}
