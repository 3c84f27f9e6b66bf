package circuit

import (
	"math/rand/v2"
	"time"
)

// The wait after a failure doubles with each further one in a row.
const (
	firstWait = 100 * time.Millisecond
	maxWait   = 5 * time.Second
	// jitter is the part of the wait that is random, so that nodes do not
	// probe a replica that comes back all at the same moment.
	jitter = 0.5
)

// Breaker is one replica's circuit as one node sees it: closed while attempts
// succeed, open for a while after a failure, then half-open for one probe at a
// time. The zero value is closed.
type Breaker struct {
	failures  int
	openUntil time.Time
	probing   bool
}

// Allows says whether the replica may get a request now.
func (b *Breaker) Allows(now time.Time) bool {
	if b.failures == 0 {
		return true
	}
	return !now.Before(b.openUntil) && !b.probing
}

// RecordDispatch tells that a request was given to the replica; while the circuit is
// half-open it is the probe.
func (b *Breaker) RecordDispatch() {
	b.probing = b.failures > 0
}

// RecordSuccess closes the circuit.
func (b *Breaker) RecordSuccess() {
	*b = Breaker{}
}

// RecordFailure opens the circuit for a growing time.
func (b *Breaker) RecordFailure(now time.Time, random *rand.Rand) {
	b.probing = false
	if b.failures > 0 && now.Before(b.openUntil) {
		// Requests that were bound before the circuit opened fail together:
		// that is one failure, not many.
		return
	}
	b.failures++
	wait := min(firstWait<<min(b.failures-1, 10), maxWait)
	wait -= time.Duration(jitter * random.Float64() * float64(wait))
	b.openUntil = now.Add(wait)
}

// RecordInconclusive tells that a request ended without saying anything of the replica,
// such as one its caller gave up; a probe is then due again.
func (b *Breaker) RecordInconclusive() {
	b.probing = false
}

// NextProbeAt returns when an open circuit next lets a probe through; zero while
// it is closed or a probe is under way.
func (b *Breaker) NextProbeAt() time.Time {
	if b.failures == 0 || b.probing {
		return time.Time{}
	}
	return b.openUntil
}
