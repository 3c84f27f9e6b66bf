package autoscale

import (
	"math"
	"time"

	"galenatrestle/internal/boottime"
)

// Record is what the next holder goes on from, as it is written to the store.
type Record struct {
	// Capacity is the replicas wanted of each upstream that can't be taken away.
	Capacity map[string]float64 `json:"capacity"`
}

const (
	// shrinkTime is the time in which a capacity that nobody needs falls to a half: a
	// replica that goes takes its cached prompts with it, and the load comes back.
	shrinkTime = 5 * time.Minute
	// busyHeadroom is the capacity for each replica whose places are all taken: a burst
	// is there within a second, and new replicas serve some seconds later.
	busyHeadroom = 2.0
)

// capacity is what is wanted after passed, where before was, and o is observed. It grows
// at once and shrinks slowly.
func capacity(before float64, o *Observation, passed time.Duration) float64 {
	shrunk := before * math.Exp2(-passed.Seconds()/shrinkTime.Seconds())
	return max(shrunk, busyHeadroom*float64(o.Busy)/float64(max(o.Slots, 1)))
}

// stableFor is how long the number of replicas has to stand before it counts as what the
// operator has: at a fleet's start they register one after the other.
const stableFor = 2 * time.Second

// arrivals follows the replicas of an upstream of which nobody has wanted any number yet.
type arrivals struct {
	ready int
	since boottime.Instant
}

// present is the capacity of what is registered, once the number of replicas has stood
// for a while. Reclaimable ones count only where there are no others.
func (a *arrivals) present(now boottime.Instant, o *Observation) (capacity float64, known bool) {
	ready := o.ready(OnDemand)
	if ready == 0 {
		ready = o.ready(Reclaimable)
	}
	// What stands still on old news says nothing.
	if a.since == 0 || ready != a.ready || o.Age > newsAge {
		a.ready, a.since = ready, now
	}
	return float64(ready), ready > 0 && now.Sub(a.since) >= stableFor
}
