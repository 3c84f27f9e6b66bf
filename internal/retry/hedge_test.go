package retry

import (
	"testing"
	"time"

	"galenatrestle/internal/config"
)

func TestHedge(t *testing.T) {
	allowed := HedgeCandidate{
		Class: "quick", Upstream: "llm", Allowed: true, Repeatable: true,
		Waited: time.Second, Remaining: time.Minute, Attempts: 1,
	}
	change := func(f func(*HedgeCandidate)) HedgeCandidate {
		h := allowed
		f(&h)
		return h
	}
	tests := []struct {
		name  string
		hedge HedgeCandidate
		want  bool
	}{
		{"late", allowed, true},
		{"not yet late", change(func(h *HedgeCandidate) { h.Waited = 90 * time.Millisecond }), false},
		{"class does not allow", change(func(h *HedgeCandidate) { h.Allowed = false }), false},
		{"lower tier", change(func(h *HedgeCandidate) { h.Tier = 1 }), false},
		{"unrepeatable", change(func(h *HedgeCandidate) { h.Repeatable = false }), false},
		{"second attempt already", change(func(h *HedgeCandidate) { h.Attempts = 2 }), false},
		{"no samples", change(func(h *HedgeCandidate) { h.Class = "other" }), false},
		{"too little time left", change(func(h *HedgeCandidate) { h.Waited, h.Remaining = 40*time.Millisecond, 50*time.Millisecond }), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			policy := NewPolicy(config.Limits{})
			for i := range 100 {
				policy.ObserveFirstToken(start, "quick", "llm", time.Duration(i+1)*time.Millisecond)
			}
			if got := policy.ShouldHedge(start, test.hedge); got != test.want {
				t.Fatalf("ShouldHedge = %v, want %v", got, test.want)
			}
		})
	}
}

func TestHedgeChargesRetryBudget(t *testing.T) {
	policy := NewPolicy(config.Limits{})
	for range minSamples {
		policy.ObserveFirstToken(start, "quick", "llm", time.Millisecond)
	}
	hedges := 0
	for range 100 {
		if policy.ShouldHedge(start, HedgeCandidate{
			Class: "quick", Upstream: "llm", Allowed: true, Repeatable: true,
			Waited: time.Second, Remaining: time.Second, Attempts: 1,
		}) {
			hedges++
		}
	}
	if hedges != minAddedAttempts {
		t.Fatalf("%d hedges without successes, want %d", hedges, minAddedAttempts)
	}
}

func TestFirstTokenTimeout(t *testing.T) {
	policy := NewPolicy(config.Limits{})
	observe := func(class string, latency time.Duration) {
		for range minSamples {
			policy.ObserveFirstToken(start, class, "llm", latency)
		}
	}
	observe("quick", 10*time.Millisecond)
	observe("slow", time.Second)
	if got := policy.FirstTokenTimeout("other", "llm"); got != 0 {
		t.Errorf("first-token timeout %v without samples, want 0", got)
	}
	if got := policy.FirstTokenTimeout("quick", "llm"); got != minFirstTokenTimeout {
		t.Errorf("first-token timeout %v, want the minimum %v", got, minFirstTokenTimeout)
	}
	if got := policy.FirstTokenTimeout("slow", "llm"); got < 9*time.Second || got > 11*time.Second {
		t.Errorf("first-token timeout %v, want about 10 s", got)
	}
}

func TestOldLatenciesExpire(t *testing.T) {
	policy := NewPolicy(config.Limits{})
	hedge := HedgeCandidate{Class: "quick", Upstream: "llm", Allowed: true, Repeatable: true, Remaining: time.Hour, Attempts: 1}
	for round, latency := range []time.Duration{time.Second, 10 * time.Second} {
		now := start.Add(time.Duration(round) * sketchLifetime)
		for range minSamples {
			policy.ObserveFirstToken(now, "quick", "llm", latency)
		}
		delay, ok := policy.HedgeDelay(hedge)
		if !ok || delay < latency*9/10 || delay > latency*11/10 {
			t.Fatalf("HedgeDelay = %v, %v; want about %v", delay, ok, latency)
		}
	}
}
