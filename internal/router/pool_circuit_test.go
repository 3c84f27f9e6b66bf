package router

import (
	"fmt"
	"testing"
	"time"
)

// A replica that fails requests at once always has free slots; without the circuit it would receive
// most requests.
func TestCrashingReplicaReceivesOnlyProbes(t *testing.T) {
	pool := testPool(4, "good", "bad")
	now := time.Unix(100, 0)
	const requests = 400
	boundToBad := 0
	for n := range requests {
		request := Request{ID: fmt.Sprint(n), Class: "quick", GiveUpAt: now.Add(time.Hour)}
		if refused := pool.Submit(now, request); refused != nil {
			t.Fatal(refused)
		}
		for _, decision := range pool.Decide(now) {
			if decision.Refused != nil {
				t.Fatal(decision.Refused)
			}
			result := ResultDone
			if decision.Replica.Name == "bad" {
				boundToBad++
				result = ResultCrashed
			}
			pool.Finish(now, decision.ID, result)
		}
		now = now.Add(time.Millisecond)
	}
	// Waits of 50 to 100 ms that double allow few probes in 400 ms.
	if boundToBad == 0 || boundToBad > 8 {
		t.Errorf("%d of %d requests were bound to the failing replica, want 1 to 8", boundToBad, requests)
	}
}

// If the only replica fails, a waiting request must be bound at the next circuit probe.
func TestDeadlineIncludesCircuitProbe(t *testing.T) {
	pool := testPool(1, "only")
	now := time.Unix(100, 0)
	for _, id := range []string{"first", "second"} {
		if refused := pool.Submit(now, Request{ID: id, Class: "quick", GiveUpAt: now.Add(time.Hour)}); refused != nil {
			t.Fatal(refused)
		}
	}
	pool.Decide(now)
	pool.Finish(now, "first", ResultCrashed)
	if decisions := pool.Decide(now); len(decisions) != 0 {
		t.Fatalf("bound at once to a replica that just failed: %+v", decisions)
	}
	probe := pool.Deadline(now)
	if !probe.After(now) || probe.After(now.Add(time.Second)) {
		t.Fatalf("deadline %s, want within a second of %s", probe, now)
	}
	decisions := pool.Decide(probe)
	if len(decisions) != 1 || decisions[0].ID != "second" || decisions[0].Replica == nil {
		t.Fatalf("Decide at the probe time = %+v, want the second request bound", decisions)
	}
	if next := pool.Deadline(probe); !next.IsZero() && !next.After(probe) {
		t.Errorf("deadline %s is not after %s: the caller would loop without pause", next, probe)
	}
}

// Guards against requests to a replica that has asked for a pause, and against waiting longer than
// the pause where no other replica is left.
func TestPausedReplicaGetsNoRequestUntilItsPauseEnds(t *testing.T) {
	pool := testPool(2, "a", "b")
	now := start
	pauseEnd := now.Add(3 * time.Second)
	pool.Pause(now, "a", pauseEnd)
	pool.Pause(now, "a", now.Add(time.Second))
	pool.Pause(now, "unknown", pauseEnd)
	for n := range 2 {
		mustSubmit(t, pool, Request{ID: fmt.Sprint(n), Class: "quick", GiveUpAt: now.Add(time.Hour)})
	}
	for _, decision := range pool.Decide(now) {
		if decision.Replica == nil || decision.Replica.Name != "b" {
			t.Errorf("decision %+v, want all requests bound to b", decision)
		}
	}
	mustSubmit(t, pool, Request{ID: "waits", Class: "quick", GiveUpAt: now.Add(time.Hour)})
	if decisions := pool.Decide(pauseEnd.Add(-time.Millisecond)); len(decisions) != 0 {
		t.Fatalf("decisions in the pause: %+v, want none", decisions)
	}
	if next := pool.Deadline(pauseEnd.Add(-time.Millisecond)); !next.Equal(pauseEnd) {
		t.Fatalf("next decision in %s, want the end of the pause", next.Sub(pauseEnd))
	}
	decisions := pool.Decide(pauseEnd)
	if len(decisions) != 1 || decisions[0].Replica == nil || decisions[0].Replica.Name != "a" {
		t.Errorf("decisions at the end of the pause: %+v, want the request bound to a", decisions)
	}
}
