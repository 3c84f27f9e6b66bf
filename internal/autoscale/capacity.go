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
	// busyHeadroom is the capacity per fully occupied replica, for bursts that arrive
	// faster than new replicas start.
	busyHeadroom = 2.0
)

// capacity returns the wanted capacity, given the previous one, the observation and the
// time passed since. It grows immediately and decays with capacityHalfLife.
func capacity(before float64, o *Observation, passed time.Duration) float64 {
	shrunk := before * math.Exp2(-passed.Seconds()/capacityHalfLife.Seconds())
	return max(shrunk, busyHeadroom*float64(o.Busy)/float64(max(o.Slots, 1)))
}

// stableFor is how long the replica count must stay unchanged before it is taken as the
// initial capacity: replicas register one by one when a fleet starts.
const stableFor = 2 * time.Second

// registrations tracks the replica count of an upstream that has no wanted capacity yet.
type registrations struct {
	ready int
	since boottime.Instant
}

// stableCapacity returns the registered capacity once the replica count has been stable
// for stableFor. Reclaimable replicas count only if there are no on-demand ones.
func (a *registrations) stableCapacity(now boottime.Instant, o *Observation) (capacity float64, known bool) {
	ready := o.ready(OnDemand)
	if ready == 0 {
		ready = o.ready(Reclaimable)
	}
	// A stale observation is no evidence of a stable count.
	if a.since == 0 || ready != a.ready || o.Age > maxObservationAge {
		a.ready, a.since = ready, now
	}
	return float64(ready), ready > 0 && now.Sub(a.since) >= stableFor
}
