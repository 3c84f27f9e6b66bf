package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/claim"
	"galenatrestle/internal/lease"
	"galenatrestle/internal/platform/memstore"
)

// measuredTTL is the lease time measured with; calls grow with its inverse.
const measuredTTL = time.Second

// Leases measures the platform's writes in one lease time by the
// leases held, and by further holders that wait.
func Leases(ctx context.Context, _ Fleet, leases []int, d time.Duration) ([]Slope, error) {
	held := Slope{
		Role: RoleDuties, Quantity: "writes of the platform in one lease time, held", Unit: "1",
		Against: "leases", Target: claim.DefaultShards,
	}
	waiting := Slope{
		Role: RoleDuties, Quantity: "writes of the platform in one lease time, waiting", Unit: "1",
		Against: "waiting holders", Target: 1,
	}
	one, err := leaseWrites(ctx, 1, 0, d)
	if err != nil {
		return nil, err
	}
	for _, n := range leases {
		rate, err := leaseWrites(ctx, n, 0, d)
		if err != nil {
			return nil, err
		}
		held.add(n, rate)
		all, err := leaseWrites(ctx, 1, n, d)
		if err != nil {
			return nil, err
		}
		waiting.add(n, all-one)
	}
	return fitAll(held, waiting)
}

// leaseWrites holds leases, has others wait for the first of them, and returns
// the writes in one lease time.
func leaseWrites(ctx context.Context, held, waiting int, d time.Duration) (float64, error) {
	ctx, stop := context.WithCancel(ctx)
	store := memstore.New(memstore.Config{WritesPerSecond: 1e6, ReadsPerSecond: 1e6})
	var holders sync.WaitGroup
	defer holders.Wait()
	defer stop()
	for i := range held {
		term, err := acquire(ctx, store, i, i)
		if err != nil {
			return 0, err
		}
		holders.Go(func() {
			<-ctx.Done()
			_ = term.Release(context.WithoutCancel(ctx))
		})
	}
	settings := lease.DefaultSettings(measuredTTL)
	for i := range waiting {
		holders.Go(func() { keepAsking(ctx, store, held+i, settings.TryEvery) })
	}
	before := writes(store)
	time.Sleep(d)
	return (writes(store) - before) * measuredTTL.Seconds() / d.Seconds(), nil
}

// keepAsking asks for the first lease as a waiting holder does.
func keepAsking(ctx context.Context, store *memstore.Store, holder int, every time.Duration) {
	for ctx.Err() == nil {
		if term, err := acquire(ctx, store, 0, holder); err == nil {
			_ = term.Release(ctx)
		}
		select {
		case <-time.After(every):
		case <-ctx.Done():
		}
	}
}

func acquire(ctx context.Context, store *memstore.Store, name, holder int) (*lease.Term, error) {
	metrics, err := lease.NewMetrics(prometheus.NewRegistry())
	if err != nil {
		return nil, err
	}
	source, err := lease.NewSource(store, fmt.Sprintf("vm-%d/run", holder), lease.DefaultSettings(measuredTTL), metrics, time.Now)
	if err != nil {
		return nil, err
	}
	return source.Acquire(ctx, fmt.Sprintf("duty-%d", name))
}

// writes returns the calls that count against the platform's write rate.
func writes(store *memstore.Store) float64 {
	sum := int64(0)
	for call, count := range store.Calls() {
		if call.IsWrite() {
			sum += count.Calls
		}
	}
	return float64(sum)
}
