package router

import (
	"strconv"
	"testing"
	"time"
)

// makeStraggler sends tokens from replica a ten times slower than from b, so that a becomes a
// straggler, and returns the time at the end.
func makeStraggler(t *testing.T, p *Pool) time.Time {
	t.Helper()
	now := start
	for i := range 8 {
		r := request("warm"+strconv.Itoa(i), "review")
		r.GiveUpAt = start.Add(time.Hour)
		mustSubmit(t, p, r)
	}
	bound := make(map[string]string)
	for _, decision := range p.Decide(now) {
		bound[decision.ID] = decision.Replica.Name
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

func TestStragglerGetsNoHighestTierRequestsUntilSlownessDecays(t *testing.T) {
	p := testPool(4, "a", "b")
	now := makeStraggler(t, p)
	if stats := p.Stats(now); stats.Replicas[0].Slowness < 5 || stats.Replicas[0].Limit != 1 {
		t.Fatalf("replica a: %+v, want a straggler with limit 1", stats.Replicas[0])
	}
	p.SetAllowance("b", 0)
	r := request("quick", "quick")
	r.Arrived, r.GiveUpAt = now, now.Add(time.Hour)
	if refused := p.Submit(now, r); refused != nil {
		t.Fatal(refused)
	}
	if decisions := p.Decide(now); len(decisions) != 0 {
		t.Fatalf("Decide = %+v, want the request to wait", decisions)
	}
	for range 2000 {
		now = p.Deadline(now)
		if decisions := p.Decide(now); len(decisions) > 0 {
			if waited := now.Sub(r.Arrived); waited < 10*time.Second {
				t.Errorf("bound after %v, want the straggler to be avoided for at least 10 s", waited)
			}
			return
		}
	}
	t.Error("the straggler was never tried again")
}

// A retry must run on the straggler at once if the other replica crashed or must be avoided.
func TestStragglerIsUsedWhenTheOthersFail(t *testing.T) {
	for _, result := range []Result{ResultCrashed, ResultFailed} {
		checkRetryOnStraggler(t, result)
	}
}

func checkRetryOnStraggler(t *testing.T, result Result) {
	t.Helper()
	p := testPool(4, "a", "b")
	now := makeStraggler(t, p)
	r := request("quick", "quick")
	r.Arrived, r.GiveUpAt = now, now.Add(time.Hour)
	if refused := p.Submit(now, r); refused != nil {
		t.Fatal(refused)
	}
	if decisions := p.Decide(now); len(decisions) != 1 || decisions[0].Replica.Name != "b" {
		t.Fatalf("Decide = %+v, want a binding to b", decisions)
	}
	p.Finish(now, "quick", result)
	r.Attempt, r.Avoid = 2, []string{"b"}
	if refused := p.Submit(now, r); refused != nil {
		t.Fatal(refused)
	}
	now = now.Add(2 * slownessUpdateInterval)
	decisions := p.Decide(now)
	if len(decisions) != 1 || decisions[0].Replica == nil || decisions[0].Replica.Name != "a" {
		t.Fatalf("Decide = %+v, want a binding to a at once", decisions)
	}
}
