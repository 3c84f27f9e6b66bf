package router

import (
	"slices"
	"time"
)

const (
	// paceEvery is how often the pool compares its replicas' pace.
	paceEvery = 50 * time.Millisecond
	// firstTokenSlack is how much longer than usual a first token may take
	// before the replica's silence counts.
	firstTokenSlack = 2
)

// comparePace works out the pool's usual pace and finds stragglers.
func (p *Pool) comparePace(now time.Time) {
	if now.Sub(p.comparedAt) < paceEvery {
		return
	}
	p.comparedAt = now
	p.usual = p.median(func(r *replicaState) float64 { return r.pace.Average() })
	p.reference = p.median(func(r *replicaState) float64 { return r.floor.Value() })
	p.speed.SetTokenTime(p.usual)
	if p.without.StragglerDetection {
		return
	}
	for _, r := range p.order {
		r.slowness = r.pace.Slowness(now, p.usual, r.running, p.patience())
	}
	p.treatStragglers(now)
}

// treatStragglers shrinks the limits of the stragglers, or acquits them where
// no other replica works: slow ones are then the best there are.
func (p *Pool) treatStragglers(now time.Time) {
	works := slices.ContainsFunc(p.order, func(r *replicaState) bool {
		return r.works(now) && !r.suspect()
	})
	for _, r := range p.order {
		switch {
		case !r.suspect():
		case !works:
			r.slowness = 1
		case !p.without.AdaptiveLimits:
			r.learned.Shrink()
		}
	}
}

// urgent says whether a request of the highest tier waits.
func (p *Pool) urgent() bool {
	return p.queue.FirstTier() == p.highestTier
}

// patience is how long a replica may be silent while it reads a long prompt.
func (p *Pool) patience() time.Duration {
	return firstTokenSlack * p.longestPrefill
}

// median returns the lower median of the replicas' values above zero.
func (p *Pool) median(value func(*replicaState) float64) float64 {
	p.values = p.values[:0]
	for _, r := range p.order {
		if v := value(r); v > 0 && r.open() {
			p.values = append(p.values, v)
		}
	}
	if len(p.values) == 0 {
		return 0
	}
	slices.Sort(p.values)
	return p.values[(len(p.values)-1)/2]
}
