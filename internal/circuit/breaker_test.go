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
	if !b.Allows(now) || !b.ReopensAt().IsZero() {
		t.Fatal("a new circuit is not closed")
	}
	b.Failed(now, random)
	if b.Allows(now) {
		t.Fatal("open circuit lets a request through")
	}
	now = b.ReopensAt()
	if !b.Allows(now) {
		t.Fatal("no probe after the wait")
	}
	b.Bound()
	if b.Allows(now) {
		t.Fatal("two probes at a time")
	}
	b.Succeeded()
	if !b.Allows(now) {
		t.Fatal("a good probe does not close the circuit")
	}
}

func TestBreakerWaitGrowsToItsBound(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	now := time.Unix(0, 0)
	var b Breaker
	for i := range 40 {
		b.Failed(now, random)
		wait := b.ReopensAt().Sub(now)
		most := min(firstWait<<min(i, 10), maxWait)
		if wait > most || wait < most/2 {
			t.Fatalf("wait %d is %s, want between %s and %s", i, wait, most/2, most)
		}
		now = b.ReopensAt()
		b.Bound()
	}
}

func TestFailuresTogetherCountOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	now := time.Unix(0, 0)
	var b Breaker
	for range 20 {
		b.Failed(now, random)
	}
	if wait := b.ReopensAt().Sub(now); wait > firstWait {
		t.Errorf("twenty requests that failed together open the circuit for %s, want at most %s", wait, firstWait)
	}
}

func TestGivenUpProbeIsDueAgain(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	now := time.Unix(0, 0)
	var b Breaker
	b.Failed(now, random)
	now = b.ReopensAt()
	b.Bound()
	b.Undecided()
	if !b.Allows(now) {
		t.Error("no probe after one that its caller gave up")
	}
}
