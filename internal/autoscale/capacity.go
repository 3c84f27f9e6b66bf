package autoscale

import (
	"math"
	"time"

	"galenatrestle/internal/boottime"
)

// Record is the scaler state in the store. The next lease holder resumes from it.
type Record struct {
	// Capacity is the wanted capacity by upstream, in on-demand replicas.
	Capacity map[string]float64 `json:"capacity"`
}

const (
	// capacityHalfLife is the half-life of unused capacity. Removing a replica loses its
	// cached prompts, so capacity shrinks slowly in case the load returns.
	capacityHalfLife = 5 * time.Minute
	// busyHeadroom is the wanted capacity per fully occupied replica. The surplus absorbs
	// bursts that arrive faster than new replicas start.
	busyHeadroom = 2.0
)

// nextCapacity returns the wanted capacity, given the previous one, the observation and the
// elapsed time. It grows immediately and decays with capacityHalfLife.
func nextCapacity(previous float64, o *Observation, elapsed time.Duration) float64 {
	decayed := previous * math.Exp2(-elapsed.Seconds()/capacityHalfLife.Seconds())
	return max(decayed, busyHeadroom*float64(o.Busy)/float64(max(o.Slots, 1)))
}

// stablePeriod is how long the replica count must stay unchanged before it is taken as the
// initial capacity: replicas register one by one when a fleet starts.
const stablePeriod = 2 * time.Second

// registrationTracker detects when the replica count of an upstream without a wanted
// capacity is stable.
type registrationTracker struct {
	ready int
	since boottime.Instant
}

// stableCapacity returns the registered capacity once the replica count has been stable
// for stablePeriod. Reclaimable replicas count only if there are no on-demand ones.
func (t *registrationTracker) stableCapacity(now boottime.Instant, o *Observation) (capacity float64, known bool) {
	ready := o.ready(OnDemand)
	if ready == 0 {
		ready = o.ready(Reclaimable)
	}
	// A stale observation is no evidence of a stable count.
	if t.since == 0 || ready != t.ready || o.Age > maxObservationAge {
		t.ready, t.since = ready, now
	}
	return float64(ready), ready > 0 && now.Sub(t.since) >= stablePeriod
}
