package router

import (
	"strconv"
	"testing"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

func testClasses() []config.Class {
	second := config.Duration(time.Second)
	return []config.Class{
		{Name: "quick", Tier: 0, TargetAnswer: 10 * second, GiveUpAfter: 20 * second, QueueBound: 3},
		{Name: "review", Tier: 2, TargetAnswer: 60 * second, GiveUpAfter: 120 * second},
	}
}

func testPool(slots int, names ...string) *Pool {
	replicas := make([]Replica, 0, len(names))
	for _, name := range names {
		replicas = append(replicas, Replica{Name: name, Slots: slots})
	}
	return NewPool(Options{Classes: testClasses(), Replicas: replicas})
}

func request(id, class string) Request {
	return Request{
		ID: id, Class: class, Workspace: "w", Attempt: 1,
		Arrived: start, AnswerBy: start.Add(10 * time.Second), GiveUpAt: start.Add(20 * time.Second),
	}
}

func mustSubmit(t *testing.T, p *Pool, r Request) {
	t.Helper()
	if refused := p.Submit(start, r); refused != nil {
		t.Fatalf("Submit(%s) = %v, want nil", r.ID, refused)
	}
}

func TestHigherTierIsBoundFirst(t *testing.T) {
	p := testPool(1, "a")
	mustSubmit(t, p, request("long", "review"))
	mustSubmit(t, p, request("short", "quick"))
	decisions := p.Decide(start)
	if len(decisions) != 1 || decisions[0].ID != "short" || decisions[0].Replica == nil {
		t.Fatalf("Decide = %+v, want only request short bound", decisions)
	}
	p.Finish(start, "short", ResultDone)
	decisions = p.Decide(start)
	if len(decisions) != 1 || decisions[0].ID != "long" {
		t.Fatalf("Decide = %+v, want request long bound", decisions)
	}
}

func TestExpiryRefusesAsNotRun(t *testing.T) {
	p := testPool(1, "a")
	mustSubmit(t, p, request("1", "quick"))
	p.Decide(start)
	mustSubmit(t, p, request("2", "quick"))
	p.Decide(start)
	deadline := p.Deadline(start)
	if deadline.IsZero() {
		t.Fatal("Deadline is zero while a request waits")
	}
	at := start.Add(20 * time.Second)
	decisions := p.Decide(at)
	if len(decisions) != 1 || decisions[0].Refused == nil || decisions[0].Refused.Reason != refusal.GaveUpWaiting {
		t.Fatalf("Decide = %+v, want request 2 refused", decisions)
	}
	if decisions[0].Refused.Outcome != refusal.NotRun {
		t.Errorf("outcome = %s, want %s", decisions[0].Refused.Outcome, refusal.NotRun)
	}
}

func TestClassQueueBound(t *testing.T) {
	p := testPool(1, "a")
	for i := range 3 {
		mustSubmit(t, p, request(strconv.Itoa(i), "quick"))
	}
	refused := p.Submit(start, request("3", "quick"))
	if refused == nil || refused.Reason != refusal.QueueFull || refused.RetryAfter == 0 {
		t.Fatalf("Submit = %v, want %s with RetryAfter", refused, refusal.QueueFull)
	}
	mustSubmit(t, p, request("4", "review"))
}

func TestLeavingReplicaGetsNoRequests(t *testing.T) {
	p := testPool(8, "a", "b")
	p.SetLeaving(start, "a", true)
	for i := range 3 {
		mustSubmit(t, p, request(strconv.Itoa(i), "quick"))
	}
	for _, decision := range p.Decide(start) {
		if decision.Replica == nil || decision.Replica.Name != "b" {
			t.Errorf("decision %+v, want a binding to b", decision)
		}
	}
	p.SetLeaving(start, "b", true)
	refused := p.Submit(start, request("9", "quick"))
	if refused == nil || refused.Reason != refusal.NoReplica {
		t.Errorf("Submit = %v, want %s", refused, refusal.NoReplica)
	}
}

func TestRetryAvoidsReplicaAndHasUnknownOutcome(t *testing.T) {
	p := testPool(1, "a", "b")
	retry := request("1", "quick")
	retry.Attempt = 2
	retry.Avoid = []string{"a"}
	mustSubmit(t, p, retry)
	decisions := p.Decide(start)
	if len(decisions) != 1 || decisions[0].Replica.Name != "b" {
		t.Fatalf("Decide = %+v, want a binding to b", decisions)
	}
	retry.ID = "2"
	mustSubmit(t, p, retry)
	if decisions := p.Decide(start); len(decisions) != 0 {
		t.Fatalf("Decide = %+v, want request 2 to wait for b", decisions)
	}
	decisions = p.Decide(start.Add(time.Minute))
	if len(decisions) != 1 || decisions[0].Refused == nil || decisions[0].Refused.Outcome != refusal.Unknown {
		t.Errorf("Decide = %+v, want a refusal with outcome %s", decisions, refusal.Unknown)
	}
}

func TestCancelledRequestIsNeverBound(t *testing.T) {
	p := testPool(1, "a")
	mustSubmit(t, p, request("1", "quick"))
	p.Cancel(start, "1")
	if decisions := p.Decide(start); len(decisions) != 0 {
		t.Errorf("Decide = %+v, want nothing", decisions)
	}
	if got := p.Stats(start).Cancelled; got != 1 {
		t.Errorf("Cancelled = %d, want 1", got)
	}
}
