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

// Bound tells that a request was given to the replica; while the circuit is
// half-open it is the probe.
func (b *Breaker) Bound() {
	b.probing = b.failures > 0
}

// Succeeded closes the circuit.
func (b *Breaker) Succeeded() {
	*b = Breaker{}
}

// Failed opens the circuit for a growing time.
func (b *Breaker) Failed(now time.Time, random *rand.Rand) {
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

// Undecided tells that a request ended without saying anything of the replica,
// such as one its caller gave up; a probe is then due again.
func (b *Breaker) Undecided() {
	b.probing = false
}

// ReopensAt returns when an open circuit next lets a probe through; zero while
// it is closed or a probe is under way.
func (b *Breaker) ReopensAt() time.Time {
	if b.failures == 0 || b.probing {
		return time.Time{}
	}
	return b.openUntil
}
