package quota

import (
	"math"
	"testing"
	"time"

	"galenatrestle/internal/config"
)

func TestSettleUpdatesMeanAnswer(t *testing.T) {
	l := limiter(config.Quota{TokensPerSecond: 1000, Burst: 1}, 1)
	use, refused := l.TakeAnswer(start, "w", 10, 0)
	if refused != nil || use != (Use{Prompt: 10, Answer: defaultAnswerTokens}) {
		t.Fatalf("TakeAnswer = %+v, %v", use, refused)
	}
	l.Settle(start, "w", use, 10, 90)
	if got := admitted(l, start, 100); got != 9 {
		t.Errorf("admitted %d requests of 100 tokens, want 9", got)
	}
	later := start.Add(time.Minute)
	if use, _ := l.TakeAnswer(later, "w", 10, 0); use.Answer != 90 {
		t.Errorf("expected answer = %v tokens, want 90", use.Answer)
	}
	if use, _ := l.TakeAnswer(later, "w", 10, 20); use.Answer != 20 {
		t.Errorf("expected answer = %v tokens, want the maximum of 20", use.Answer)
	}
	l.Settle(later, "w", Use{Answer: 90}, 0, 0)
	if use, _ := l.TakeAnswer(later, "w", 10, 0); use.Answer != 90 {
		t.Errorf("expected answer = %v tokens after an empty answer, want 90", use.Answer)
	}
}

func TestDemandCountsRefusedRequests(t *testing.T) {
	l := limiter(config.Quota{RequestsPerSecond: 10, TokensPerSecond: 1000}, 0.25)
	for second := range 30 {
		for range 5 {
			l.Take(start.Add(time.Duration(second)*time.Second), "w", 150)
		}
		l.Demands(start.Add(time.Duration(second+1) * time.Second))
	}
	got := l.Demands(start.Add(30 * time.Second))
	if len(got) != 1 || got[0].Workspace != "w" || math.Abs(got[0].Part-0.75) > 0.01 {
		t.Errorf("demands %v, want 0.75 by tokens", got)
	}
	for second := range 200 {
		got = l.Demands(start.Add(time.Duration(31+second) * time.Second))
	}
	if len(got) != 0 {
		t.Errorf("demands %v long after the last request", got)
	}
}

func TestSetShares(t *testing.T) {
	l := NewLimiter()
	l.SetQuotas(start, map[string]config.Quota{"w": {RequestsPerSecond: 40}, "v": {RequestsPerSecond: 40}}, 1)
	l.SetShares(start, 0.25, map[string]float64{"v": 0.5})
	if got := admitted(l, start, 0); got != 20 {
		t.Errorf("admitted %d with the even share, want 20", got)
	}
	l.SetShares(start, 0.25, map[string]float64{"w": 0.5})
	if got := admitted(l, start.Add(time.Second), 0); got != 20 {
		t.Errorf("a second later: admitted %d with a share of 0.5, want 20", got)
	}
}
