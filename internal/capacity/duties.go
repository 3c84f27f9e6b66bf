package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/lease"
	"galenatrestle/internal/platform/memstore"
)

const (
	// measuredTTL is the lease time measured with; calls a second grow with its
	// inverse.
	measuredTTL = time.Second
	dutyName    = "duty"
)

// Leases measures the platform's writes in one lease time: by the leases held,
// by contenders that wait for one lease, and by contenders that leave it to a
// preferred one.
func Leases(ctx context.Context, fleet Fleet, leases, contenders []int, d time.Duration) ([]Slope, error) {
	base := Slope{Role: RoleDuties, Unit: "writes"}
	held, waiting, others := base, base, base
	held.Quantity, held.Against, held.Target = "writes in one lease time, held", "leases", 1
	waiting.Quantity, waiting.Against, waiting.Target = "writes in one lease time, waiting", "contenders", float64(fleet.Nodes-1)
	others.Quantity, others.Against, others.Target = "writes in one lease time, not preferred", "contenders", float64(fleet.Nodes-1)
	for _, n := range leases {
		rate, err := leaseWrites(ctx, d, func(c *contest) error { return c.holdAll(n) })
		if err != nil {
			return nil, err
		}
		held.add(n, rate)
	}
	for _, n := range contenders {
		for slope, preferred := range map[*Slope]bool{&waiting: true, &others: false} {
			rate, err := leaseWrites(ctx, d, func(c *contest) error { return c.contend(n, preferred) })
			if err != nil {
				return nil, err
			}
			slope.add(n, rate)
		}
	}
	return fitAll(held, waiting, others)
}

// contest is some processes and their leases.
type contest struct {
	ctx     context.Context
	store   *memstore.Store
	holders sync.WaitGroup
}

// leaseWrites starts the processes and returns the writes in one lease time.
func leaseWrites(ctx context.Context, d time.Duration, begin func(*contest) error) (float64, error) {
	ctx, stop := context.WithCancel(ctx)
	c := &contest{ctx: ctx, store: memstore.New(memstore.Config{WritesPerSecond: 1e6, ReadsPerSecond: 1e6})}
	defer c.holders.Wait()
	defer stop()
	if err := begin(c); err != nil {
		return 0, err
	}
	before := writes(c.store)
	time.Sleep(d)
	return (writes(c.store) - before) * measuredTTL.Seconds() / d.Seconds(), ctx.Err()
}

// holdAll holds n leases of one process until the contest ends.
func (c *contest) holdAll(n int) error {
	source, err := c.source("holder")
	if err != nil {
		return err
	}
	for i := range n {
		term, err := source.Acquire(c.ctx, fmt.Sprintf("%s-%d", dutyName, i))
		if err != nil {
			return err
		}
		c.holders.Go(func() {
			<-c.ctx.Done()
			// The store is in memory and goes with the contest.
			_ = term.Release(context.WithoutCancel(c.ctx))
		})
	}
	return nil
}

// contend runs n processes that try for a lease which another has for good.
func (c *contest) contend(n int, preferred bool) error {
	if _, err := c.store.Acquire(c.ctx, dutyName, "elsewhere", time.Hour); err != nil {
		return err
	}
	for i := range n {
		source, err := c.source(fmt.Sprintf("contender-%d", i))
		if err != nil {
			return err
		}
		callbacks := lease.Callbacks{OnGained: func(context.Context, int64) {}, OnLost: func(int64, lease.EndReason) {}}
		holder := lease.NewHolder(source, dutyName, callbacks, rand.New(rand.NewPCG(5, uint64(i))))
		holder.SetPreferred(func() bool { return preferred })
		c.holders.Go(func() { _ = holder.Run(c.ctx) })
	}
	return nil
}

func (c *contest) source(name string) (*lease.Source, error) {
	metrics, err := lease.NewMetrics(prometheus.NewRegistry())
	if err != nil {
		return nil, err
	}
	return lease.NewSource(c.store, name, lease.DefaultSettings(measuredTTL), metrics, time.Now)
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
