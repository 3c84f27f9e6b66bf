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

// Handover measures the platform's reads a second, over the time d from their
// start, by the nodes whose gates are kept up to date while nothing moves.
func Handover(ctx context.Context, fleet Fleet, nodes []int, d time.Duration) ([]Slope, error) {
	reads := Slope{
		Role: RoleHandover, Quantity: "idle reads of the platform", Unit: "1/s",
		Against: "nodes of all regions", Target: float64(fleet.Nodes),
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	stores := make([]*memstore.Store, len(nodes))
	for i, n := range nodes {
		stores[i] = memstore.New(memstore.Config{WritesPerSecond: 1e6, ReadsPerSecond: 1e6})
		runAgents(ctx, stores[i], n)
	}
	time.Sleep(d)
	for i, n := range nodes {
		reads.add(n, readsOf(stores[i])/d.Seconds())
	}
	return fitAll(reads)
}

// runAgents keeps n gates up to date.
func runAgents(ctx context.Context, store *memstore.Store, n int) {
	var ids atomic.Int64
	moves := handover.NewMoveStore(store, func() string { return fmt.Sprintf("id-%d", ids.Add(1)) })
	home := func(string, string) bool { return true }
	timing := handover.DefaultTiming()
	for i := range n {
		metrics := handover.NewMetrics(prometheus.NewRegistry())
		gate := handover.NewGate(home, timing, metrics, time.Now)
		go handover.NewAgent(gate, moves, nil, nil, fmt.Sprintf("vm-%d", i), timing, time.Now).Run(ctx)
	}
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
