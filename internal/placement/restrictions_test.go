package placement

import (
	"testing"
	"time"

	"galenatrestle/internal/pause"
)

// pausedFleet returns a placer for n replicas of which the first ones ask for a pause of 3 s now.
func pausedFleet(now time.Time, n, paused int) (*Placer, *pause.Table) {
	p, set := newFleet(n, 1)
	pauses := new(pause.Table)
	p.SetPauses(pauses)
	for _, r := range set.ForUpstream("u")[:paused] {
		pauses.Begin(now, r.Process(), 3*time.Second)
	}
	return p, pauses
}

// timeOut makes attempts that end without a response.
func timeOut(t *testing.T, p *Placer, now time.Time, attempts int) *Attempt {
	t.Helper()
	var last *Attempt
	for range attempts {
		if last = p.Choose(now, "u", short()); last == nil {
			t.Fatal("no replica was chosen")
		}
		last.End(now, TimedOut)
	}
	return last
}

func TestPausedReplicaIsNotChosen(t *testing.T) {
	now := time.Now()
	p, _ := pausedFleet(now, 6, 5)
	for range 20 {
		a := p.Choose(now, "u", short())
		if a == nil || a.Replica.ID != p.replicas.ForUpstream("u")[5].ID {
			t.Fatalf("attempt %+v, want the replica that is not paused", a)
		}
		a.End(now, Answered)
	}
	found := p.Restricted(now, "u", &Request{})
	if found.Paused != 5 || !found.NextAt.Equal(now.Add(3*time.Second)) {
		t.Errorf("restricted replicas: %+v, want 5 paused for 3s", found)
	}
}

// Guards against requests to a replica whose refusals, and the pauses in them, are lost on the way.
func TestSilentReplicaIsPresumedPausedLikeTheOthers(t *testing.T) {
	now := time.Now()
	p, pauses := pausedFleet(now, 3, 2)
	timeOut(t, p, now, minUnanswered)
	if a := p.Choose(now, "u", short()); a != nil {
		t.Fatalf("replica %s was chosen, want none", a.Replica.ID)
	}
	if found := p.Restricted(now, "u", &Request{}); found.Paused != 2 || found.PresumedPaused != 1 {
		t.Errorf("restricted replicas: %+v, want 2 paused and 1 presumed to be", found)
	}
	// The others ask for further pauses, which must not keep this one unused for good.
	end := now.Add(3 * time.Second)
	for _, r := range p.replicas.ForUpstream("u")[:2] {
		pauses.Begin(end, r.Process(), 3*time.Second)
	}
	silent := timeOut(t, p, end, 1)
	if a := p.Choose(end, "u", short()); a != nil {
		t.Errorf("replica %s was chosen after it timed out again, want none", a.Replica.ID)
	}
	later := end.Add(3 * time.Second)
	a := p.Choose(later, "u", short())
	if a == nil {
		t.Fatal("no replica was chosen after the pauses")
	}
	a.End(later, Answered)
	if silent.state.unanswered != 0 && a.Replica.ID == silent.Replica.ID {
		t.Error("a response did not end the silence")
	}
}

func TestSilentReplicaIsUsedIfNoneIsPaused(t *testing.T) {
	now := time.Now()
	p, _ := pausedFleet(now, 1, 0)
	timeOut(t, p, now, 5*minUnanswered)
}

func TestResponseEndsAPresumedPause(t *testing.T) {
	for _, result := range []Result{Answered, Full, Errored} {
		now := time.Now()
		p, _ := pausedFleet(now, 2, 1)
		pending := p.Choose(now, "u", short())
		timeOut(t, p, now, minUnanswered)
		if a := p.Choose(now, "u", short()); a != nil {
			t.Fatalf("result %d: replica %s was chosen, want none", result, a.Replica.ID)
		}
		pending.End(now, result)
		if a := p.Choose(now, "u", short()); a == nil {
			t.Errorf("result %d: no replica was chosen after the response", result)
		}
	}
}
