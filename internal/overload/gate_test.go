package overload

import (
	"testing"
	"time"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

const second = time.Second

func TestARequestIsRefusedForWhatIsAheadOfIt(t *testing.T) {
	for name, test := range map[string]struct {
		request Request
		want    Reason
	}{
		"nothing ahead":                     {Request{Objective: second, OwnPrefill: second / 10}, ""},
		"a long prompt on an idle replica":  {Request{Objective: second, OwnPrefill: 20 * second}, ""},
		"a short wait":                      {Request{Objective: second, QueueTime: second / 5, OwnPrefill: second / 10}, ""},
		"a wait beyond the objective":       {Request{Objective: second, QueueTime: 2 * second, OwnPrefill: second / 10}, TooLate},
		"a long prompt behind a long queue": {Request{Objective: second, QueueTime: second, OwnPrefill: 20 * second}, TooLate},
		"no objective":                      {Request{QueueTime: time.Hour}, ""},
		"memory that is nearly full":        {Request{Objective: second, MemoryUsed: 0.9}, MemoryFull},
		"memory that is half full":          {Request{Objective: second, MemoryUsed: 0.5}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			verdict := new(Gate).Decide(start, test.request)
			if verdict.Reason != test.want {
				t.Errorf("refused for %q, want %q", verdict.Reason, test.want)
			}
			if verdict.Refused() != (verdict.RetryAfter > 0) {
				t.Errorf("refused: %v, told to come back after %s", verdict.Refused(), verdict.RetryAfter)
			}
		})
	}
}

// The load at which a class of a short objective was refused while a less urgent
// one of a long objective was let in, and filled the queue further.
func TestNoLessUrgentRequestIsLetInWhileAMoreUrgentOneIsRefused(t *testing.T) {
	letter := Request{Rank: 1, Objective: 800 * time.Millisecond, QueueTime: 1500 * time.Millisecond, OwnPrefill: 50 * time.Millisecond}
	history := Request{Rank: 2, Objective: 2500 * time.Millisecond, QueueTime: 600 * time.Millisecond, OwnPrefill: 300 * time.Millisecond}
	question := Request{Rank: 0, Objective: 500 * time.Millisecond, QueueTime: 50 * time.Millisecond}

	g := new(Gate)
	if v := g.Decide(start, history); v.Refused() {
		t.Fatalf("refused for %q before any other was", v.Reason)
	}
	if v := g.Decide(start, letter); v.Reason != TooLate {
		t.Fatalf("a letter that waits twice its objective: %q", v.Reason)
	}
	soon := start.Add(100 * time.Millisecond)
	if v := g.Decide(soon, history); v.Reason != MoreUrgentRefused {
		t.Errorf("a less urgent request after it: %q", v.Reason)
	}
	if v := g.Decide(soon, question); v.Refused() {
		t.Errorf("a more urgent request after it: %q", v.Reason)
	}
	if v := g.Decide(start.Add(closedFor), history); v.Refused() {
		t.Errorf("a less urgent request %s later: %q", closedFor, v.Reason)
	}
}

// A refusal of a less urgent rank must not reopen what a more urgent one closed,
// and one that is refused for another must not keep the others out for ever.
func TestARefusalOfALessUrgentRankChangesNothingForTheRanksBetween(t *testing.T) {
	late := func(rank int) Request {
		return Request{Rank: rank, Objective: second, QueueTime: 3 * second}
	}
	fine := func(rank int) Request { return Request{Rank: rank, Objective: second} }
	g := new(Gate)
	g.Decide(start, late(1))
	g.Decide(start.Add(closedFor/2), late(5))
	if v := g.Decide(start.Add(closedFor*3/4), fine(3)); v.Reason != MoreUrgentRefused {
		t.Errorf("rank 3 after rank 1 was refused: %q", v.Reason)
	}
	for i := range 10 {
		g.Decide(start.Add(time.Duration(i)*closedFor/10), fine(3))
	}
	if v := g.Decide(start.Add(closedFor), fine(3)); v.Refused() {
		t.Errorf("rank 3, with no more urgent one refused since: %q", v.Reason)
	}
}

func TestEachUpstreamHasAGateOfItsOwn(t *testing.T) {
	var gates Gates
	gates.Of("a").Decide(start, Request{Rank: 0, Objective: second, QueueTime: 3 * second})
	if v := gates.Of("b").Decide(start, Request{Rank: 1, Objective: second}); v.Refused() {
		t.Errorf("refused for what happened at another upstream: %q", v.Reason)
	}
	if v := gates.Of("a").Decide(start, Request{Rank: 1, Objective: second}); !v.Refused() {
		t.Error("the gate of an upstream forgets at once")
	}
}

func TestNobodyIsToldToComeBackBeforeNow(t *testing.T) {
	for _, left := range []time.Duration{-second, 0, second, time.Minute} {
		if after := RetryDelay(-second, left); after <= 0 {
			t.Errorf("with %s left: return after %s", left, after)
		}
	}
}
