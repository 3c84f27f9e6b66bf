package router

import (
	"slices"
	"time"
)

const (
	slownessUpdateInterval = 50 * time.Millisecond
	// prefillAllowanceFactor times the longest prefill is how long a replica may send no token
	// before it counts as slow.
	prefillAllowanceFactor = 2
)

func (p *Pool) updateSlowness(now time.Time) {
	if now.Sub(p.slownessUpdatedAt) < slownessUpdateInterval {
		return
	}
	p.slownessUpdatedAt = now
	p.medianTokenTime = p.median(func(r *replicaState) float64 { return r.pace.Average() })
	p.idleTokenTime = p.median(func(r *replicaState) float64 { return r.tokenTimeFloor.Value() })
	p.speed.SetTokenTime(p.medianTokenTime)
	if p.disabled.StragglerDetection {
		return
	}
	for _, r := range p.orderedReplicas {
		r.slowness = r.pace.Slowness(now, p.medianTokenTime, r.running, p.allowedSilence())
	}
	p.limitStragglers(now)
}

// limitStragglers shrinks the limits of stragglers. If no other replica is healthy, it resets their
// slowness to normal instead.
func (p *Pool) limitStragglers(now time.Time) {
	healthyExists := slices.ContainsFunc(p.orderedReplicas, func(r *replicaState) bool {
		return r.healthy(now) && !r.isStraggler()
	})
	for _, r := range p.orderedReplicas {
		switch {
		case !r.isStraggler():
		case !healthyExists:
			r.slowness = 1
		case !p.disabled.AdaptiveLimits:
			r.learnedLimit.ShrinkToOne()
		}
	}
}

func (p *Pool) highestTierWaits() bool {
	return p.queue.HighestTier() == p.highestTier
}

// allowedSilence is how long a replica may send no token before it counts as slow: enough for the
// prefill of a long prompt.
func (p *Pool) allowedSilence() time.Duration {
	return prefillAllowanceFactor * p.longestPrefill
}

// median returns the lower median of the positive values of replicas that accept new requests.
func (p *Pool) median(value func(*replicaState) float64) float64 {
	p.medianBuffer = p.medianBuffer[:0]
	for _, r := range p.orderedReplicas {
		if v := value(r); v > 0 && r.acceptsNew() {
			p.medianBuffer = append(p.medianBuffer, v)
		}
	}
	if len(p.medianBuffer) == 0 {
		return 0
	}
	slices.Sort(p.medianBuffer)
	return p.medianBuffer[(len(p.medianBuffer)-1)/2]
}
