package router

import (
	"fmt"
	"testing"
	"time"
)

// TestCrashedReplicaDoesNotDrawAllRequests binds requests to two replicas of
// which one fails each at once: by its empty slots it looks the best.
func TestCrashedReplicaDoesNotDrawAllRequests(t *testing.T) {
	pool := testPool(4, "good", "bad")
	now := time.Unix(100, 0)
	const requests = 400
	onBad := 0
	for n := range requests {
		request := Request{ID: fmt.Sprint(n), Class: "quick", GiveUpAt: now.Add(time.Hour)}
		if refused := pool.Submit(now, request); refused != nil {
			t.Fatal(refused)
		}
		for _, event := range pool.Decide(now) {
			if event.Refused != nil {
				t.Fatal(event.Refused)
			}
			result := ResultDone
			if event.Replica.Name == "bad" {
				onBad++
				result = ResultCrashed
			}
			pool.Finish(now, event.ID, result)
		}
		now = now.Add(time.Millisecond)
	}
	// 400 ms hold few probes at waits of 50 to 100 ms and double those.
	if onBad == 0 || onBad > 8 {
		t.Errorf("%d of %d requests went to the replica that fails, want 1 to 8", onBad, requests)
	}
}

// TestProbeIsADeadline lets the only replica fail and checks that the waiting
// request is bound when the circuit lets a probe through.
func TestProbeIsADeadline(t *testing.T) {
	pool := testPool(1, "only")
	now := time.Unix(100, 0)
	for _, id := range []string{"first", "second"} {
		if refused := pool.Submit(now, Request{ID: id, Class: "quick", GiveUpAt: now.Add(time.Hour)}); refused != nil {
			t.Fatal(refused)
		}
	}
	pool.Decide(now)
	pool.Finish(now, "first", ResultCrashed)
	if events := pool.Decide(now); len(events) != 0 {
		t.Fatalf("bound at once to a replica that just failed: %+v", events)
	}
	probe := pool.Deadline(now)
	if !probe.After(now) || probe.After(now.Add(time.Second)) {
		t.Fatalf("deadline %s, want within a second of %s", probe, now)
	}
	events := pool.Decide(probe)
	if len(events) != 1 || events[0].ID != "second" || events[0].Replica == nil {
		t.Fatalf("at the probe: %+v, want the second request bound", events)
	}
	if next := pool.Deadline(probe); !next.IsZero() && !next.After(probe) {
		t.Errorf("deadline %s is not after %s: the driver would spin", next, probe)
	}
}
