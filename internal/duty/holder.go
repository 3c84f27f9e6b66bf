package duty

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/lease"
)

// Options are what a Holder works with.
type Options struct {
	Store Store
	// Key is the lock's key in the store.
	Key string
	// Node is this node's name, Process one that no other run of it has.
	Node, Process string
	// TTL is how long a holder that fell silent keeps the others from the duties.
	TTL time.Duration
	// Contends says whether this node tries now, if the duties are free.
	Contends func() bool
	Tasks    []Task
	Clock    boottime.Clock
	Rand     *rand.Rand
	Log      *eventlog.Log
	Registry prometheus.Registerer
}

// Holder tries to hold the duties for as long as it runs.
type Holder struct {
	options Options
	lease   *lease.Holder
	// works are those of the term in force.
	works sync.WaitGroup
	// fence is the token of the term in force; zero: none is.
	fence atomic.Int64
}

// settings are the times of the lease. A renewal may take as long as the store's slow
// answers do; a gap between two looks at the clock is a pause only where it is long
// against the lease, since a busy node's looks come late.
func settings(ttl time.Duration) lease.Settings {
	s := lease.DefaultSettings(ttl)
	s.CallTimeout = ttl / 4
	s.PauseBound = ttl / 4
	return s
}

// NewHolder returns a holder that tries from Run on.
func NewHolder(options Options) (*Holder, error) {
	metrics, err := lease.NewMetrics(options.Registry)
	if err != nil {
		return nil, err
	}
	source, err := lease.NewSource(NewLock(options.Store, options.Clock, options.Contends), options.Process, settings(options.TTL), metrics, time.Now)
	if err != nil {
		return nil, err
	}
	h := &Holder{options: options}
	h.lease = lease.NewHolder(source, options.Key, lease.Callbacks{OnGained: h.gained, OnLost: h.lost}, options.Rand)
	options.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trestle_duty_fence", Help: "Fencing token of the duties that this node holds; zero: it holds none.",
	}, func() float64 { return float64(h.fence.Load()) }))
	return h, nil
}

// Fence is the token of the duties that this node holds; zero: it holds none.
func (h *Holder) Fence() int64 { return h.fence.Load() }

// Run tries for the duties and does their work until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	if err := h.lease.Run(ctx); err != nil {
		// The lease runs out by itself.
		h.options.Log.Error("release duties", err)
	}
}

func (h *Holder) gained(ctx context.Context, fence int64) {
	h.fence.Store(fence)
	h.options.Log.Write(&gained{node: h.options.Node, fence: fence})
	term := Term{
		Holder: h.options.Node, Fence: fence, Key: h.options.Key,
		Held: func() bool {
			held, ok := h.lease.Held(time.Now())
			return ok && held == fence
		},
	}
	for _, work := range h.options.Tasks {
		h.works.Go(func() { work.Run(ctx, term) })
	}
}

func (h *Holder) lost(fence int64, reason lease.EndReason) {
	h.works.Wait()
	h.fence.Store(0)
	h.options.Log.Write(&lost{node: h.options.Node, fence: fence, reason: reason})
}
