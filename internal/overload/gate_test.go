package overload

import (
	"testing"
	"time"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

const second = time.Second

func TestDecideRefusesForQueueTimeAndMemory(t *testing.T) {
	for name, test := range map[string]struct {
		request Request
		want    Reason
	}{
		"empty queue":                       {Request{Objective: second, OwnPrefill: second / 10}, ""},
		"a long prompt on an idle replica":  {Request{Objective: second, OwnPrefill: 20 * second}, ""},
		"a short wait":                      {Request{Objective: second, QueueTime: second / 5, OwnPrefill: second / 10}, ""},
		"a wait above the objective":        {Request{Objective: second, QueueTime: 2 * second, OwnPrefill: second / 10}, TooLate},
		"a long prompt behind a long queue": {Request{Objective: second, QueueTime: second, OwnPrefill: 20 * second}, TooLate},
		"no objective":                      {Request{QueueTime: time.Hour}, ""},
		"memory nearly full":                {Request{Objective: second, MemoryUsed: 0.9}, MemoryFull},
		"memory half full":                  {Request{Objective: second, MemoryUsed: 0.5}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			decision := new(Gate).Decide(start, test.request)
			if decision.Reason != test.want {
				t.Errorf("reason %q, want %q", decision.Reason, test.want)
			}
			if decision.Refused() != (decision.RetryAfter > 0) {
				t.Errorf("refused: %v, retry after %s", decision.Refused(), decision.RetryAfter)
			}
		})
	}
}

// Guards against admitting less urgent requests, which lengthen the queue, while more urgent
// ones with a shorter objective are refused.
func TestLessUrgentRequestsAreRefusedAfterAMoreUrgentOne(t *testing.T) {
	late := Request{Rank: 1, Objective: 800 * time.Millisecond, QueueTime: 1500 * time.Millisecond, OwnPrefill: 50 * time.Millisecond}
	lessUrgent := Request{Rank: 2, Objective: 2500 * time.Millisecond, QueueTime: 600 * time.Millisecond, OwnPrefill: 300 * time.Millisecond}
	moreUrgent := Request{Rank: 0, Objective: 500 * time.Millisecond, QueueTime: 50 * time.Millisecond}

	g := new(Gate)
	if decision := g.Decide(start, lessUrgent); decision.Refused() {
		t.Fatalf("refused with reason %q before any other refusal", decision.Reason)
	}
	if decision := g.Decide(start, late); decision.Reason != TooLate {
		t.Fatalf("a wait of nearly twice the objective: reason %q", decision.Reason)
	}
	soon := start.Add(100 * time.Millisecond)
	if decision := g.Decide(soon, lessUrgent); decision.Reason != MoreUrgentRefused {
		t.Errorf("a less urgent request after the refusal: reason %q", decision.Reason)
	}
	if decision := g.Decide(soon, moreUrgent); decision.Refused() {
		t.Errorf("a more urgent request after the refusal: reason %q", decision.Reason)
	}
	if decision := g.Decide(start.Add(refusalWindow), lessUrgent); decision.Refused() {
		t.Errorf("a less urgent request %s after the refusal: reason %q", refusalWindow, decision.Reason)
	}
}

// A refusal of a less urgent rank must not replace that of a more urgent one, and refusals
// with MoreUrgentRefused must not extend the window.
func TestRefusalOfALessUrgentRankDoesNotReplaceAMoreUrgentOne(t *testing.T) {
	late := func(rank int) Request {
		return Request{Rank: rank, Objective: second, QueueTime: 3 * second}
	}
	onTime := func(rank int) Request { return Request{Rank: rank, Objective: second} }
	g := new(Gate)
	g.Decide(start, late(1))
	g.Decide(start.Add(refusalWindow/2), late(5))
	if decision := g.Decide(start.Add(refusalWindow*3/4), onTime(3)); decision.Reason != MoreUrgentRefused {
		t.Errorf("rank 3 after rank 1 was refused: reason %q", decision.Reason)
	}
	for i := range 10 {
		g.Decide(start.Add(time.Duration(i)*refusalWindow/10), onTime(3))
	}
	if decision := g.Decide(start.Add(refusalWindow), onTime(3)); decision.Refused() {
		t.Errorf("rank 3 after the window of the refusal of rank 1: reason %q", decision.Reason)
	}
}

func TestGatesAreSeparateByUpstream(t *testing.T) {
	var gates Gates
	gates.Of("a").Decide(start, Request{Rank: 0, Objective: second, QueueTime: 3 * second})
	if decision := gates.Of("b").Decide(start, Request{Rank: 1, Objective: second}); decision.Refused() {
		t.Errorf("refused because of another upstream: reason %q", decision.Reason)
	}
	if decision := gates.Of("a").Decide(start, Request{Rank: 1, Objective: second}); !decision.Refused() {
		t.Error("a less urgent request was admitted right after a refusal at the same upstream")
	}
}

func TestRetryDelayIsPositive(t *testing.T) {
	for _, left := range []time.Duration{-second, 0, second, time.Minute} {
		if delay := RetryDelay(-second, left); delay <= 0 {
			t.Errorf("with %s left: retry delay %s", left, delay)
		}
	}
}

func TestRetryDelayIsBoundedByTheTimeLeft(t *testing.T) {
	for _, test := range []struct{ delay, left, want time.Duration }{
		{100 * time.Millisecond, time.Second, 100 * time.Millisecond},
		{2 * time.Second, 900 * time.Millisecond, 300 * time.Millisecond},
		{2 * time.Second, 0, 2 * time.Second},
	} {
		if got := BoundRetryDelay(test.delay, test.left); got != test.want {
			t.Errorf("delay %s with %s left: %s, want %s", test.delay, test.left, got, test.want)
		}
	}
}
