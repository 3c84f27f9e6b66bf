package circuit

import (
	"math/rand/v2"
	"time"
)

// The backoff doubles with each consecutive failure.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// jitter is the largest fraction by which a backoff is randomly shortened, so that nodes do
	// not probe at the same time.
	jitter = 0.5
)

// Breaker is one node's circuit breaker for one replica: closed while attempts succeed, open
// for a backoff after a failure, then half-open for one probe at a time. The zero value is
// closed.
type Breaker struct {
	failures  int
	openUntil time.Time
	probing   bool
}

// Allows reports whether the replica may get a request now.
func (b *Breaker) Allows(now time.Time) bool {
	if b.failures == 0 {
		return true
	}
	return !now.Before(b.openUntil) && !b.probing
}

// RecordDispatch records that a request was bound to the replica. In a half-open circuit the
// request is the probe.
func (b *Breaker) RecordDispatch() {
	b.probing = b.failures > 0
}

// RecordSuccess closes the circuit.
func (b *Breaker) RecordSuccess() {
	*b = Breaker{}
}

// RecordFailure opens the circuit for an exponential backoff.
func (b *Breaker) RecordFailure(now time.Time, random *rand.Rand) {
	b.probing = false
	if b.failures > 0 && now.Before(b.openUntil) {
		// Requests bound before the circuit opened count as one failure.
		return
	}
	b.failures++
	backoff := min(initialBackoff<<min(b.failures-1, 10), maxBackoff)
	backoff -= time.Duration(jitter * random.Float64() * float64(backoff))
	b.openUntil = now.Add(backoff)
}

// RecordInconclusive records a request that ended without evidence about the replica, such as
// one canceled by its caller; another probe is allowed.
func (b *Breaker) RecordInconclusive() {
	b.probing = false
}

// NextProbeAt returns when an open circuit allows the next probe, or the zero time if it is
// closed or a probe is in flight.
func (b *Breaker) NextProbeAt() time.Time {
	if b.failures == 0 || b.probing {
		return time.Time{}
	}
	return b.openUntil
}
