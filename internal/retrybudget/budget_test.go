package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

func limits(nodes int) Limits {
	return Limits{Ratio: 0.2, Window: 10 * time.Second, Allowance: 50, Nodes: nodes}
}

// TestAllNodesTogetherStayWithinTheBound spends whatever each of several nodes
// may, and checks every window.
func TestAllNodesTogetherStayWithinTheBound(t *testing.T) {
	const nodes = 7
	random := rand.New(rand.NewPCG(1, 2))
	var budgets []*Budget
	for range nodes {
		budgets = append(budgets, New(limits(nodes)))
	}
	const steps = 600 // of 100 ms
	requests, added := make([]int, steps), make([]int, steps)
	for step := range steps {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		for range 10 + 10*(step/100%2) {
			b := budgets[random.IntN(nodes)]
			b.CountRequest(now, "u")
			requests[step]++
			for range 3 {
				if b.Take(now, "u") {
					added[step]++
				}
			}
		}
	}
	const window = 100
	for end := window; end <= steps; end++ {
		sentBefore, spent := 0, 0
		for step := max(end-2*window, 0); step < end; step++ {
			if step >= end-window {
				spent += added[step]
			}
			sentBefore += requests[step]
		}
		if limit := 0.2*float64(sentBefore) + 50; float64(spent) > limit {
			t.Fatalf("%d attempts added in the window that ends at step %d, limit %.0f", spent, end, limit)
		}
	}
}

func TestAnUpstreamHasABudgetOfItsOwn(t *testing.T) {
	b := New(limits(1))
	for b.Take(start, "a") {
	}
	if !b.Take(start, "b") {
		t.Error("one upstream's attempts were taken from another's budget")
	}
	if left := b.Remaining(start, "a"); left >= 1 {
		t.Errorf("%.1f left of a spent budget", left)
	}
	if !b.Take(start.Add(12*time.Second), "a") {
		t.Error("a spent budget does not fill again")
	}
}

func TestOtherLimitsTakeEffect(t *testing.T) {
	b := New(limits(1))
	b.SetNodes(1000)
	if b.Take(start, "a") {
		t.Error("a thousandth of the allowance pays for an attempt")
	}
	b.SetLimits(Limits{Ratio: 0.2, Window: 5 * time.Second, Allowance: 4, Nodes: 1})
	taken := 0
	for b.Take(start, "a") {
		taken++
	}
	if taken != 3 {
		t.Errorf("%d attempts, want 3 of an allowance of 4 less the margin", taken)
	}
}
