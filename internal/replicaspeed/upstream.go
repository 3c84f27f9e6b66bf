package replicaspeed

import (
	"math"
	"time"
)

const (
	// DefaultHalfLife is the default half-life of observations.
	DefaultHalfLife = 2 * time.Second
	// refreshInterval is the least time between two computations of the factors.
	refreshInterval = 20 * time.Millisecond
	// gapWeightTime is the duration of a group of pauses that has a weight of 1. Groups weigh as
	// long as they took: otherwise a replica that has become five times slower would be observed
	// at a fifth of the rate.
	gapWeightTime = 100 * time.Millisecond
	minGapWeight  = 0.25
	maxGapWeight  = 2.0
	// surpriseWeight is how much more a pause counts that differs from the estimate by a factor
	// of e. Without it, a replica that became five times slower kept a third of its old factor
	// for more than 2 s, because observations from before outweigh the new ones.
	surpriseWeight    = 6.0
	maxSurpriseWeight = 8.0
	// shownWeight is the weight of observations from which a replica is not new any more.
	shownWeight = 3.0
	// serviceLoadRange is the number of requests, in slots, at the end of the curve of a plain
	// service.
	serviceLoadRange = 2.0
)

// Upstream is what the replicas of one upstream have in common. It is not safe for concurrent use.
type Upstream struct {
	halfLife    time.Duration
	refreshedAt time.Time
	origins     [kinds]float64
	// gaps is the expected time between events, with and without prompts to prefill at the
	// replica; service is the answer time of a plain service.
	gaps    [2]curve
	service curve
	// established is the number of replicas that are not new.
	established int
	// observations counts them by kind.
	observations [kinds]int
}

// NewUpstream returns the state of an upstream of which nothing is known.
func NewUpstream(halfLife time.Duration) *Upstream { return &Upstream{halfLife: halfLife} }

// Load is the load of a replica at an observation.
type Load struct {
	// Running is the number of requests there by slots.
	Running float64
	// Prefilling is whether prompts wait there for prefill.
	Prefilling bool
}

// ObservePrefill records a time to first token. ownFraction is the part of the expected time that
// is the request's own: what other nodes sent before it may be known late, so that such
// observations count less.
func (u *Upstream) ObservePrefill(e *Estimate, expectedMS, tookMS, ownFraction float64) {
	if expectedMS <= 0 || tookMS <= 0 {
		return
	}
	// A time far below the expected one is usually a prompt that was unexpectedly cached.
	weight := (0.25 + 0.75*ownFraction) * min(max(tookMS/expectedMS, 0.25), 2)
	u.observe(e, Prefill, math.Log(expectedMS/tookMS), weight)
}

// ObserveGap records the typical pause of a group that took some time.
func (u *Upstream) ObserveGap(e *Estimate, load Load, typical, took time.Duration) {
	ms := milliseconds(typical)
	if ms <= 0 {
		return
	}
	c := &u.gaps[0]
	if load.Prefilling {
		c = &u.gaps[1]
	}
	c.observe(load.Running, ms*e.DecodeFactor())
	log := clampLog(math.Log(c.at(load.Running) / ms))
	surprise := math.Abs(log - u.origins[Decode] - e.logs[Decode])
	weight := min(max(took.Seconds()/gapWeightTime.Seconds(), minGapWeight), maxGapWeight)
	u.observe(e, Decode, log, weight*min(1+surpriseWeight*surprise*surprise, maxSurpriseWeight))
}

// ObserveService records the answer time of a plain service.
func (u *Upstream) ObserveService(e *Estimate, load Load, took time.Duration) {
	ms := milliseconds(took)
	if ms <= 0 {
		return
	}
	x := load.Running / serviceLoadRange
	u.service.observe(x, ms*e.ServiceFactor())
	log := clampLog(math.Log(u.service.at(x) / ms))
	surprise := math.Abs(log - u.origins[Prefill] - e.logs[Prefill])
	u.observe(e, Prefill, log, min(1+surprise*surprise, 4))
}

func (u *Upstream) observe(e *Estimate, kind Kind, log, weight float64) {
	e.add(kind, clampLog(log), weight)
	u.observations[kind]++
}

// EventIntervalMS returns the expected time between events at the replica, in milliseconds; zero:
// not known.
func (u *Upstream) EventIntervalMS(e *Estimate, load Load) float64 {
	c := &u.gaps[0]
	if load.Prefilling {
		c = &u.gaps[1]
	}
	return c.at(load.Running) / e.DecodeFactor()
}

// Refresh decays the observations and computes the factors, if they are not recent. It reports
// whether it did.
func (u *Upstream) Refresh(now time.Time, estimates []*Estimate) bool {
	elapsed := now.Sub(u.refreshedAt)
	if elapsed < refreshInterval {
		return false
	}
	u.refreshedAt = now
	decay := math.Exp2(-elapsed.Seconds() / u.halfLife.Seconds())
	var sums [kinds]Observed
	for _, e := range estimates {
		e.decay(decay)
		for kind := range kinds {
			sums[kind] = sums[kind].Plus(e.all(kind))
		}
	}
	for kind, sum := range sums {
		u.origins[kind] = sum.mean()
	}
	u.established = 0
	for _, e := range estimates {
		e.update(u.origins)
		if e.shown >= shownWeight {
			u.established++
		}
	}
	return true
}

func clampLog(log float64) float64 { return min(max(log, -maxLog), maxLog) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
