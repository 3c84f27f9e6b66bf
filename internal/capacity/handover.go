package capacity

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/handover"
	"galenatrestle/internal/platform/memstore"
)

// Handover measures the platform's reads a second by the nodes whose gates are
// kept up to date while nothing moves.
func Handover(ctx context.Context, fleet Fleet, nodes []int, d time.Duration) ([]Slope, error) {
	reads := Slope{
		Role: RoleHandover, Quantity: "idle reads of the platform", Unit: "1/s",
		Against: "nodes of all regions", Target: float64(fleet.Nodes),
	}
	for _, n := range nodes {
		rate, err := moveReads(ctx, n, d)
		if err != nil {
			return nil, err
		}
		reads.add(n, rate)
	}
	return fitAll(reads)
}

// moveReads runs n agents and returns the platform's reads a second.
func moveReads(ctx context.Context, n int, d time.Duration) (float64, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	store := memstore.New(memstore.Config{WritesPerSecond: 1e6, ReadsPerSecond: 1e6})
	var ids atomic.Int64
	moves := handover.NewMoveStore(store, func() string { return fmt.Sprintf("id-%d", ids.Add(1)) })
	home := func(string, string) bool { return true }
	timing := handover.DefaultTiming()
	for i := range n {
		metrics := handover.NewMetrics(prometheus.NewRegistry())
		gate := handover.NewGate(home, timing, metrics, time.Now)
		go handover.NewAgent(gate, moves, nil, nil, fmt.Sprintf("vm-%d", i), timing, time.Now).Run(ctx)
	}
	time.Sleep(timing.Resend)
	before := readsOf(store)
	time.Sleep(d)
	return (readsOf(store) - before) / d.Seconds(), ctx.Err()
}

// readsOf returns the calls that count against the platform's read rate.
func readsOf(store *memstore.Store) float64 {
	sum := int64(0)
	for call, count := range store.Calls() {
		if !call.IsWrite() {
			sum += count.Calls
		}
	}
	return float64(sum)
}
