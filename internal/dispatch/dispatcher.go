package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/pause"
	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
)

// defaultSlots is a replica's concurrency limit if the configuration has none.
const defaultSlots = 8

// Dispatcher assigns requests to replicas.
type Dispatcher struct {
	availabilityZone string
	seed             uint64

	mu     sync.RWMutex
	shards map[string]*shard
}

// New returns a dispatcher without upstreams. The seed is for its random sources.
func New(availabilityZone string, seed uint64) *Dispatcher {
	return &Dispatcher{
		availabilityZone: availabilityZone,
		seed:             seed,
		shards:           make(map[string]*shard),
	}
}

// Configure applies a configuration. The pool of a removed upstream is kept for its running
// requests, but without replicas.
func (d *Dispatcher) Configure(document *config.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	configured := make(map[string]bool, len(document.Upstreams))
	weights := weightsOf(document)
	for i := range document.Upstreams {
		upstream := &document.Upstreams[i]
		configured[upstream.Name] = true
		d.configureUpstream(document, upstream, weights)
	}
	for name, s := range d.shards {
		if !configured[name] {
			s.update(func(now time.Time) { s.pool.SetReplicas(now, nil) })
		}
	}
}

func (d *Dispatcher) configureUpstream(document *config.Document, upstream *config.Upstream, weights map[string]float64) {
	replicas := replicasOf(upstream)
	s, known := d.shards[upstream.Name]
	if !known {
		d.shards[upstream.Name] = newShard(router.NewPool(router.Options{
			Upstream:         upstream.Name,
			AvailabilityZone: d.availabilityZone,
			Rand:             rand.New(rand.NewPCG(d.seed, uint64(len(d.shards)))),
			Classes:          document.Classes,
			Replicas:         replicas,
			Weights:          weights,
		}))
		return
	}
	s.update(func(now time.Time) {
		s.pool.SetClasses(now, document.Classes)
		s.pool.SetWeights(weights)
		s.pool.SetReplicas(now, replicas)
	})
}

func replicasOf(upstream *config.Upstream) []router.Replica {
	slots := upstream.SlotsPerReplica
	if slots == 0 {
		slots = defaultSlots
	}
	replicas := make([]router.Replica, 0, len(upstream.Replicas))
	for _, r := range upstream.Replicas {
		replicas = append(replicas, router.Replica{
			Name:             r.Name,
			Address:          r.Address,
			AvailabilityZone: r.AvailabilityZone,
			Slots:            slots,
			Leaving:          r.Leaving,
		})
	}
	return replicas
}

// weightsOf returns the workspaces' weights other than 1, the pools' default.
func weightsOf(document *config.Document) map[string]float64 {
	weights := make(map[string]float64)
	for i := range document.Workspaces {
		w := &document.Workspaces[i]
		if w.Weight != 1 {
			weights[w.Name] = w.Weight
		}
	}
	return weights
}

// Acquire waits for a slot on a replica of the upstream. The error is a *refusal.Error.
func (d *Dispatcher) Acquire(ctx context.Context, upstream string, request router.Request) (*Slot, error) {
	s := d.shard(upstream)
	if s == nil {
		return nil, refusal.New(refusal.UnknownUpstream, "dispatch", "unknown upstream: "+upstream)
	}
	return s.acquire(ctx, request)
}

// SetLeaving records whether a replica has announced that it is leaving, independently of the
// configuration.
func (d *Dispatcher) SetLeaving(upstream, replica string, leaving bool) {
	if s := d.shard(upstream); s != nil {
		s.update(func(now time.Time) { s.pool.SetLeaving(now, replica, leaving) })
	}
}

// Pause keeps new requests from a replica for the given time, at most pause.MaxLength.
func (d *Dispatcher) Pause(upstream, replica string, length time.Duration) {
	if s := d.shard(upstream); s != nil {
		s.update(func(now time.Time) { s.pool.Pause(now, replica, now.Add(min(length, pause.MaxLength))) })
	}
}

// RecordLoad stores a replica's load report unless a newer one is known.
func (d *Dispatcher) RecordLoad(upstream, replica string, load router.LoadReport) {
	if s := d.shard(upstream); s != nil {
		s.update(func(now time.Time) { s.pool.RecordLoad(now, replica, load) })
	}
}

// SetAllowance sets how many slots of a replica this node may use. If negative, only the node's
// own limit for the replica applies.
func (d *Dispatcher) SetAllowance(upstream, replica string, slots int) {
	if s := d.shard(upstream); s != nil {
		s.update(func(time.Time) { s.pool.SetAllowance(replica, slots) })
	}
}

// Stats returns each upstream's state.
func (d *Dispatcher) Stats() map[string]router.Stats {
	d.mu.RLock()
	defer d.mu.RUnlock()
	stats := make(map[string]router.Stats, len(d.shards))
	for name, s := range d.shards {
		s.withPool(func(now time.Time) { stats[name] = s.pool.Stats(now) })
	}
	return stats
}

// Close stops the timers.
func (d *Dispatcher) Close() {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, s := range d.shards {
		s.withPool(func(time.Time) { s.timer.Stop() })
	}
}

func (d *Dispatcher) shard(upstream string) *shard {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.shards[upstream]
}
