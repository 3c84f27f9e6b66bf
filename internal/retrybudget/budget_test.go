package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

func limits(nodes int) Limits {
	return Limits{Ratio: 0.2, Window: 10 * time.Second, Allowance: 50, Nodes: nodes}
}

// requestAndRetry counts a request and returns how many of three retries the budget allows.
func requestAndRetry(b *Budget, now time.Time) (allowed int) {
	b.CountRequest(now, "u")
	for range 3 {
		if b.Take(now, "u") {
			allowed++
		}
	}
	return allowed
}

// Guards against nodes that exceed the shared limit together when each of them
// spends all it can.
func TestAllNodesTogetherStayWithinBound(t *testing.T) {
	const nodes = 7
	random := rand.New(rand.NewPCG(1, 2))
	var budgets []*Budget
	for range nodes {
		budgets = append(budgets, New(limits(nodes), time.Time{}))
	}
	const steps = 600 // of 100 ms each
	requests, retries := make([]int, steps), make([]int, steps)
	for step := range steps {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		for range 10 + 10*(step/100%2) {
			requests[step]++
			retries[step] += requestAndRetry(budgets[random.IntN(nodes)], now)
		}
	}
	const window = 100
	for end := window; end <= steps; end++ {
		recentRequests, spent := 0, 0
		for step := max(end-2*window, 0); step < end; step++ {
			if step >= end-window {
				spent += retries[step]
			}
			recentRequests += requests[step]
		}
		if limit := 0.2*float64(recentRequests) + 50; float64(spent) > limit {
			t.Fatalf("%d retries in the window that ends at step %d, limit %.0f", spent, end, limit)
		}
	}
}

// Nodes that restarted several times within a window spent their share of the limit each time.
func TestRestartedNodesStayWithinBound(t *testing.T) {
	for _, perStep := range []int{1, 4, 20} {
		for _, restartEvery := range []int{3, 25, 60, 95, 150} {
			t.Run(fmt.Sprintf("%d requests, restart every %d steps", perStep, restartEvery), func(t *testing.T) {
				testRestarts(t, perStep, restartEvery)
			})
		}
	}
}

// testRestarts lets seven nodes spend all they can while they restart together. A step is 100 ms.
func testRestarts(t *testing.T, perStep, restartEvery int) {
	const nodes, steps, window = 7, 600, 100
	random := rand.New(rand.NewPCG(3, 4))
	budgets := make([]*Budget, nodes)
	for i := range budgets {
		budgets[i] = New(limits(nodes), time.Time{})
	}
	requests, retries := make([]int, steps), make([]int, steps)
	for step := range steps {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		if step%restartEvery == restartEvery-1 {
			for i := range budgets {
				budgets[i] = New(limits(nodes), now)
			}
		}
		for range perStep {
			requests[step]++
			retries[step] += requestAndRetry(budgets[random.IntN(nodes)], now)
		}
	}
	sum := func(counts []int) (total int) {
		for _, n := range counts {
			total += n
		}
		return total
	}
	for end := window; end <= steps; end++ {
		spent, recent := sum(retries[end-window:end]), sum(requests[end-window:end])
		if limit := 0.2*float64(recent) + 50; float64(spent) > limit {
			t.Fatalf("%d retries in the window that ends at step %d, limit %.0f", spent, end, limit)
		}
	}
}

func TestEachUpstreamHasItsOwnBudget(t *testing.T) {
	b := New(limits(1), time.Time{})
	for b.Take(start, "a") {
	}
	if !b.Take(start, "b") {
		t.Error("retries to one upstream were charged to another upstream's budget")
	}
	if left := b.Usage(start, "a").Remaining; left >= 1 {
		t.Errorf("exhausted budget has %.1f retries remaining, want less than 1", left)
	}
	if !b.Take(start.Add(12*time.Second), "a") {
		t.Error("exhausted budget was not replenished after the window")
	}
}

func TestChangedLimitsTakeEffect(t *testing.T) {
	b := New(limits(1), time.Time{})
	b.SetNodes(1000)
	if b.Take(start, "a") {
		t.Error("a node with a thousandth of the allowance got a retry")
	}
	b.SetLimits(Limits{Ratio: 0.2, Window: 5 * time.Second, Allowance: 4, Nodes: 1})
	taken := 0
	for b.Take(start, "a") {
		taken++
	}
	if taken != 3 {
		t.Errorf("got %d retries, want 3 (allowance of 4 times the usable fraction)", taken)
	}
}
