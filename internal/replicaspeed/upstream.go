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
	// An observation beyond extremeLog, a third of the mean speed, counts extremeWeight times, and
	// so does one that ends such a state. Without it, a replica that became five times slower kept
	// a third of its speed for more than 2 s, because observations from before outweigh new ones.
	// Lesser differences are noise as often as not.
	extremeLog    = 1.1
	extremeWeight = 8.0
	// decodeDecay is how much faster observations of the time between events decay: there are many
	// more of them, and they are the first to show that a replica has become slow.
	decodeDecay = 2.0
	// peakDecay is how fast peaks decay relative to the weights.
	peakDecay = 0.25
	// overdueRatio is the part of the expected time after which an answer that still waits for an
	// event counts as an observation.
	overdueRatio = 1.5
	// minOverdueGap is the pause from which the next event may be overdue: shorter ones are those of
	// prompts that are prefilled meanwhile.
	minOverdueGap = 250 * time.Millisecond
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
	u.observe(e, Prefill, math.Log(expectedMS/tookMS), prefillWeight(expectedMS, tookMS, ownFraction))
}

// prefillWeight returns the weight of a time to first token. A time far below the expected one is
// usually that of a prompt that was unexpectedly cached.
func prefillWeight(expectedMS, tookMS, ownFraction float64) float64 {
	return (0.25 + 0.75*ownFraction) * min(max(tookMS/expectedMS, 0.25), 2)
}

// ClearOverdue forgets the answers that waited.
func (u *Upstream) ClearOverdue(e *Estimate) { e.overdue = [kinds]Observed{} }

// AddOverdue counts a request that still waits for its first token, if it has waited for longer
// than expected: a replica that has become several times slower shows it by what does not arrive.
func (u *Upstream) AddOverdue(e *Estimate, expectedMS, waitedMS, ownFraction float64) {
	if expectedMS <= 0 || waitedMS < overdueRatio*expectedMS {
		return
	}
	log := clampLog(math.Log(expectedMS / waitedMS))
	e.addOverdue(Prefill, log, prefillWeight(expectedMS, waitedMS, ownFraction)*u.extreme(e, Prefill, log))
}

// AddOverdueGap counts an answer whose next event is overdue.
func (u *Upstream) AddOverdueGap(e *Estimate, load Load, waited time.Duration) {
	expected := u.curveAt(load).at(load.Running)
	ms := milliseconds(waited)
	if expected <= 0 || waited < minOverdueGap || ms < overdueRatio*expected {
		return
	}
	log := clampLog(math.Log(expected / ms))
	e.addOverdue(Decode, log, maxGapWeight*u.extreme(e, Decode, log))
}

// ObserveGap records the typical pause of a group that took some time.
func (u *Upstream) ObserveGap(e *Estimate, load Load, typical, took time.Duration) {
	ms := milliseconds(typical)
	if ms <= 0 {
		return
	}
	c := u.curveAt(load)
	c.observe(load.Running, ms*e.DecodeFactor())
	log := clampLog(math.Log(c.at(load.Running) / ms))
	weight := min(max(took.Seconds()/gapWeightTime.Seconds(), minGapWeight), maxGapWeight)
	u.observe(e, Decode, log, weight*u.extreme(e, Decode, log))
}

// extreme returns by what the weight of an observation is multiplied.
func (u *Upstream) extreme(e *Estimate, kind Kind, log float64) float64 {
	log -= u.origins[kind]
	if log < -extremeLog || (e.logs[kind] < -extremeLog && log > e.logs[kind]+extremeLog/2) {
		return extremeWeight
	}
	return 1
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
	u.observe(e, Prefill, log, u.extreme(e, Prefill, log))
}

func (u *Upstream) observe(e *Estimate, kind Kind, log, weight float64) {
	e.add(kind, clampLog(log), weight)
	u.observations[kind]++
}

func (u *Upstream) curveAt(load Load) *curve {
	if load.Prefilling {
		return &u.gaps[1]
	}
	return &u.gaps[0]
}

// Observations returns the number of observations of the kind.
func (u *Upstream) Observations(kind Kind) int { return u.observations[kind] }

// Due reports whether the factors are to be computed again.
func (u *Upstream) Due(now time.Time) bool { return now.Sub(u.refreshedAt) >= refreshInterval }

// Refresh decays the observations and computes the factors. It calls onChange, if set, with the
// index of each replica whose class changed.
func (u *Upstream) Refresh(now time.Time, estimates []*Estimate, onChange func(i int, before Class)) {
	elapsed := now.Sub(u.refreshedAt)
	u.refreshedAt = now
	decay := math.Exp2(-elapsed.Seconds() / u.halfLife.Seconds())
	decays := [kinds]float64{Prefill: decay, Decode: math.Pow(decay, decodeDecay)}
	peakDecays := [kinds]float64{Prefill: math.Pow(decays[Prefill], peakDecay), Decode: math.Pow(decays[Decode], peakDecay)}
	var sums [kinds]Observed
	for _, e := range estimates {
		e.decay(&decays, &peakDecays)
		for kind := range kinds {
			sums[kind] = sums[kind].Plus(e.vote(kind))
		}
	}
	for kind, sum := range sums {
		u.origins[kind] = sum.mean()
	}
	for i, e := range estimates {
		e.update(u.origins)
		if before := e.class; e.updateClass(now) && onChange != nil {
			onChange(i, before)
		}
	}
}

func clampLog(log float64) float64 { return min(max(log, -maxLog), maxLog) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
