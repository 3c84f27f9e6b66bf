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

// Options configure a Holder.
type Options struct {
	Store Store
	// Key is the lock's key in the store.
	Key string
	// Node is this node's name. Process is unique to this run of the node.
	Node, Process string
	// TTL is how long a holder that fails keeps other nodes from taking over.
	TTL time.Duration
	// Contends reports whether this node may try to become the holder now.
	Contends func() bool
	Tasks    []Task
	Clock    boottime.Clock
	Rand     *rand.Rand
	Log      *eventlog.Log
	Registry prometheus.Registerer
}

// Holder competes for the lease of the duties and runs the tasks while it holds it.
type Holder struct {
	options Options
	lease   *lease.Holder
	// tasks counts the running tasks of the current term.
	tasks sync.WaitGroup
	// fence is the fencing token of the current term; zero if there is none.
	fence atomic.Int64
}

// settings returns the lease settings. The call timeout allows for slow answers of the
// store, and the pause bound for late clock checks on a busy node.
func settings(ttl time.Duration) lease.Settings {
	s := lease.DefaultSettings(ttl)
	s.CallTimeout = ttl / 4
	s.PauseBound = ttl / 4
	return s
}

// NewHolder returns a holder that does nothing until Run.
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
	h.lease = lease.NewHolder(source, options.Key, lease.Callbacks{OnGained: h.onGained, OnLost: h.onLost}, options.Rand)
	options.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trestle_duty_fence", Help: "Fencing token of the duties that this node holds; zero: it holds none.",
	}, func() float64 { return float64(h.fence.Load()) }))
	return h, nil
}

// Fence returns the current term's fencing token, or zero if this node is not the holder.
func (h *Holder) Fence() int64 { return h.fence.Load() }

// Run competes for the lease and runs the tasks of each term, until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	if err := h.lease.Run(ctx); err != nil {
		// The lease expires by itself.
		h.options.Log.Error("release duties", err)
	}
}

func (h *Holder) onGained(ctx context.Context, fence int64) {
	h.fence.Store(fence)
	h.options.Log.Write(&gained{node: h.options.Node, fence: fence})
	term := Term{
		Holder: h.options.Node, Fence: fence, Key: h.options.Key,
		Held: func() bool {
			held, ok := h.lease.Held(time.Now())
			return ok && held == fence
		},
	}
	for _, task := range h.options.Tasks {
		h.tasks.Go(func() { task.Run(ctx, term) })
	}
}

func (h *Holder) onLost(fence int64, reason lease.EndReason) {
	h.tasks.Wait()
	h.fence.Store(0)
	h.options.Log.Write(&lost{node: h.options.Node, fence: fence, reason: reason})
}
