package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// maxComebacks is how often the caller of an arrival comes back after refusals.
const maxComebacks = 2

// arrivals sends calls at random times, however many are unanswered.
type arrivals struct {
	world  *world
	random *rand.Rand
	client *http.Client

	mu    sync.Mutex
	calls []*sent
}

func newArrivals(w *world) *arrivals {
	return &arrivals{world: w, random: rand.New(rand.NewPCG(w.options.Seed, 99)), client: newClient(32)}
}

// run sends calls until ctx ends, and waits for their answers.
func (a *arrivals) run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	var calls sync.WaitGroup
	defer calls.Wait()
	options := &a.world.options
	began := time.Now()
	next := began
	for i := 0; ctx.Err() == nil; i++ {
		rate := options.Arrivals
		if next.Sub(began) > options.Length {
			rate = cmp.Or(options.LaterArrivals, rate)
		}
		next = next.Add(time.Duration(a.random.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		random := rand.New(rand.NewPCG(a.world.options.Seed, uint64(1_000_000+i)))
		calls.Go(func() { a.send(ctx, i, random) })
	}
}

// send sends one call, and again as refusals tell its caller to.
func (a *arrivals) send(ctx context.Context, i int, random *rand.Rand) {
	c := &caller{world: a.world, name: fmt.Sprintf("%d-arrival-%d", a.world.options.Seed, i), random: random, client: a.client}
	for _, n := range a.world.nodes {
		c.entries = append(c.entries, n.entry)
	}
	deadline := time.Now().Add(callerPatience)
	for c.count = 0; c.count <= maxComebacks; c.count++ {
		s := c.call(c.anyEntry())
		s.comesBack = c.count > 0
		if s.whole() || s.retryAfter == 0 || time.Now().Add(s.retryAfter).After(deadline) {
			break
		}
		select {
		case <-time.After(s.retryAfter):
		case <-ctx.Done():
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, c.calls...)
}
