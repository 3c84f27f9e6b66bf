package circuit

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestBreakerOpensProbesAndCloses(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	var b Breaker
	if !b.Allows(now) || !b.NextProbeAt().IsZero() {
		t.Fatal("a new circuit is not closed")
	}
	b.RecordFailure(now, random)
	if b.Allows(now) {
		t.Fatal("an open circuit allows a request")
	}
	now = b.NextProbeAt()
	if !b.Allows(now) {
		t.Fatal("no probe after the backoff")
	}
	b.RecordDispatch()
	if b.Allows(now) {
		t.Fatal("the circuit allows a second probe while one is in flight")
	}
	b.RecordSuccess()
	if !b.Allows(now) {
		t.Fatal("a successful probe does not close the circuit")
	}
}

func TestBreakerBackoffGrowsToMaximum(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	now := time.Unix(0, 0)
	var b Breaker
	for i := range 40 {
		b.RecordFailure(now, random)
		wait := b.NextProbeAt().Sub(now)
		most := min(initialBackoff<<min(i, 10), maxBackoff)
		if wait > most || wait < most/2 {
			t.Fatalf("backoff %d is %s, want between %s and %s", i, wait, most/2, most)
		}
		now = b.NextProbeAt()
		b.RecordDispatch()
	}
}

func TestFailuresWhileOpenCountOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	now := time.Unix(0, 0)
	var b Breaker
	for range 20 {
		b.RecordFailure(now, random)
	}
	if wait := b.NextProbeAt().Sub(now); wait > initialBackoff {
		t.Errorf("twenty requests that failed together open the circuit for %s, want at most %s", wait, initialBackoff)
	}
}

func TestInconclusiveProbeIsRepeated(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	now := time.Unix(0, 0)
	var b Breaker
	b.RecordFailure(now, random)
	now = b.NextProbeAt()
	b.RecordDispatch()
	b.RecordInconclusive()
	if !b.Allows(now) {
		t.Error("no new probe after an inconclusive one")
	}
}
