package autoscale

import (
	"math"
	"time"
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

// present is the capacity of what is registered: what the operator had before anything
// was ordered.
func present(o *Observation) float64 {
	zones := float64(len(o.Zones))
	return float64(o.ready(OnDemand)) + float64(o.ready(Reclaimable))*(zones-1)/zones
}
