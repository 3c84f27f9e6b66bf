package placement

import (
	"math"
	"time"
)

// A plain service runs a limited number of calls at once, and each call takes about the same time. Without
// the rules below, its calls had no expected queue time: none was refused in overload, and a slow or hanging
// replica of three held a third of them.

// ServiceAdmission configures expected queue times for calls without a prompt.
type ServiceAdmission struct {
	// ShortQueue is the number of calls that may wait at a replica beyond its slots while other
	// replicas have capacity.
	ShortQueue int
}

const (
	// serviceHalfLife is the half-life of a replica's observed answer times: a replica that is fast again
	// gets its part of the calls back within a few seconds.
	serviceHalfLife = 2 * time.Second
	// servicePriorWeight is the weight of the upstream's average, in observations.
	servicePriorWeight = 2.0
	// heldCost is the cost of a replica that holds its slots and a short queue: more than any load, less
	// than avoidCost.
	heldCost = 1e5
)

// SetServiceAdmission turns on expected queue times for calls without a prompt. Call it before the first
// Choose.
func (p *Placer) SetServiceAdmission(s ServiceAdmission) { p.service = &s }

// serviceTime is the observed answer time of one replica of a plain service, with decaying weight.
type serviceTime struct {
	sumMS, weight float64
	at            time.Time
}

func (t *serviceTime) decay(now time.Time) float64 {
	return math.Exp2(-max(now.Sub(t.at), 0).Seconds() / serviceHalfLife.Seconds())
}

func (t *serviceTime) observe(now time.Time, ms float64) {
	decay := t.decay(now)
	t.sumMS, t.weight, t.at = decay*t.sumMS+ms, decay*t.weight+1, now
}

// estimate returns the expected answer time, which is the prior without recent observations.
func (t *serviceTime) estimate(now time.Time, priorMS float64) float64 {
	if t.weight == 0 {
		return priorMS
	}
	decay := t.decay(now)
	return (decay*t.sumMS + servicePriorWeight*priorMS) / (decay*t.weight + servicePriorWeight)
}

// serviceMSAt returns the expected answer time of a call at the replica, in milliseconds. Calls that wait for
// a replica that sends nothing are at least as slow as they have waited.
func (u *upstream) serviceMSAt(now time.Time, s *replicaState) float64 {
	waited := s.unresponsiveFor(now)
	return max(s.service.estimate(now, u.serviceMS), 1e3*waited.Seconds())
}

// observeService learns from an ended attempt. One that ended without an answer took at least as long as
// it was waited for. The lock is held.
func (u *upstream) observeService(now time.Time, s *replicaState, took time.Duration, result Result) {
	ms := 1e3 * took.Seconds()
	if result == Answered || (result == TimedOut || result == Cancelled) && ms > s.service.estimate(now, u.serviceMS) {
		s.service.observe(now, ms)
	}
}

// serviceCost returns the expected cost of a call without a prompt at the replica. It grows from the first
// call on, which spreads calls over idle replicas while load reports are on their way.
func (u *upstream) serviceCost(now time.Time, s *replicaState) float64 {
	cost := u.serviceMSAt(now, s) * (1 + float64(s.runningAll())/float64(max(s.replica.Slots, 1)))
	if u.isHeld(s) {
		cost += heldCost
	}
	return cost
}

// runningAll returns the requests of all nodes at the replica.
func (s *replicaState) runningAll() int { return s.running + s.peersRunning }

// isHeld reports whether the replica has as many calls as its slots and a short queue. Replicas with unknown
// slots are not bounded.
func (u *upstream) isHeld(s *replicaState) bool {
	return s.replica.Slots > 0 && s.runningAll() >= s.replica.Slots+u.service.ShortQueue
}

// serviceQueueMS returns the expected time until the replica has a free slot.
func (u *upstream) serviceQueueMS(now time.Time, s *replicaState) float64 {
	slots := s.replica.Slots
	if slots <= 0 || s.runningAll() < slots {
		return 0
	}
	return u.serviceMSAt(now, s) * float64(s.runningAll()-slots+1) / float64(slots)
}

// addService adds the expected times of a call without a prompt to its choice. The lock is held.
func (u *upstream) addService(now time.Time, s *replicaState, c *Choice) {
	c.OwnPrefill = msDuration(u.serviceMSAt(now, s))
	c.FirstTokenTime = msDuration(u.serviceQueueMS(now, s)) + c.OwnPrefill
	for _, other := range u.available {
		if u.isHeld(other) {
			c.Held++
		}
	}
}

func msDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
