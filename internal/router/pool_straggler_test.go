package router

import (
	"strconv"
	"testing"
	"time"
)

// slowReplica runs enough requests to make a a straggler beside b.
func slowReplica(t *testing.T, p *Pool) time.Time {
	t.Helper()
	now := start
	for i := range 8 {
		r := request("warm"+strconv.Itoa(i), "review")
		r.GiveUpAt = start.Add(time.Hour)
		mustSubmit(t, p, r)
	}
	bound := make(map[string]string)
	for _, event := range p.Decide(now) {
		bound[event.ID] = event.Replica.Name
	}
	for step := range 2000 {
		now = now.Add(10 * time.Millisecond)
		for id, name := range bound {
			if name == "b" || step%10 == 0 {
				p.RecordTokens(now, id, 1)
			}
		}
		p.Decide(now)
	}
	for id := range bound {
		p.Finish(now, id, ResultDone)
	}
	p.Decide(now)
	return now
}

func TestStragglerGetsNothingOfTheHighestTierUntilForgotten(t *testing.T) {
	p := testPool(4, "a", "b")
	now := slowReplica(t, p)
	if stats := p.Stats(now); stats.Replicas[0].Slowness < 5 || stats.Replicas[0].Limit != 1 {
		t.Fatalf("replica a: %+v, want a straggler with limit 1", stats.Replicas[0])
	}
	p.SetAllowance("b", 0)
	r := request("quick", "quick")
	r.Arrived, r.GiveUpAt = now, now.Add(time.Hour)
	if refused := p.Submit(now, r); refused != nil {
		t.Fatal(refused)
	}
	if events := p.Decide(now); len(events) != 0 {
		t.Fatalf("Next = %+v, want the request to wait", events)
	}
	for range 2000 {
		now = p.Deadline(now)
		if events := p.Decide(now); len(events) > 0 {
			if waited := now.Sub(r.Arrived); waited < 10*time.Second {
				t.Errorf("bound after %v, want the straggler to be remembered longer", waited)
			}
			return
		}
	}
	t.Error("the straggler was never tried again")
}

// Where all others fail, or are to be avoided, a straggler is better than none.
func TestStragglerIsUsedWhenTheOthersFail(t *testing.T) {
	for _, result := range []Result{ResultCrashed, ResultFailed} {
		checkRetryOnStraggler(t, result)
	}
}

func checkRetryOnStraggler(t *testing.T, result Result) {
	t.Helper()
	p := testPool(4, "a", "b")
	now := slowReplica(t, p)
	r := request("quick", "quick")
	r.Arrived, r.GiveUpAt = now, now.Add(time.Hour)
	if refused := p.Submit(now, r); refused != nil {
		t.Fatal(refused)
	}
	if events := p.Decide(now); len(events) != 1 || events[0].Replica.Name != "b" {
		t.Fatalf("Next = %+v, want a binding to b", events)
	}
	p.Finish(now, "quick", result)
	r.Attempt, r.Avoid = 2, []string{"b"}
	if refused := p.Submit(now, r); refused != nil {
		t.Fatal(refused)
	}
	now = now.Add(2 * paceEvery)
	events := p.Decide(now)
	if len(events) != 1 || events[0].Replica == nil || events[0].Replica.Name != "a" {
		t.Fatalf("Next = %+v, want a binding to a at once", events)
	}
}
