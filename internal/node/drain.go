package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"galenatrestle/internal/drain"
	"galenatrestle/internal/gateway"
	drainv1 "galenatrestle/internal/gen/trestle/drain/v1"
	"galenatrestle/internal/intent"
)

// drains tells of the node's work and takes it out of service; it implements
// drain.Local.
type drains struct {
	node     *Node
	client   *drain.Client
	inFlight atomic.Int64

	mu sync.Mutex
	// withdrawn is when the node was taken out of the entries; zero means that
	// it serves.
	withdrawn time.Time
}

// newDrains creates the part and mounts its handler on the peer listener.
func newDrains(n *Node) *drains {
	d := &drains{node: n, client: drain.NewClient(linkDialer{n.peers}, withRegions{n.members.runner})}
	n.peers.server.Mount(drain.NewHandler(d))
	return d
}

// count wraps the callers' handler so that requests in flight are counted. Lookups are none: callers that
// keep this node's address for them would let a drained node seem to have work.
func (d *drains) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if gateway.IsLookup(r) {
			next.ServeHTTP(w, r)
			return
		}
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Work implements drain.Local.
func (d *drains) Work() *drainv1.GetWorkResponse {
	since := d.withdrawnSince()
	work := &drainv1.GetWorkResponse{
		Node: d.node.options.Name, InFlight: d.inFlight.Load(),
		Withdrawn: !since.IsZero(), Duties: d.duties(),
	}
	if !since.IsZero() {
		work.KeepMs = max(0, d.node.options.KeepTime-time.Since(since)).Milliseconds()
	}
	for upstream, pool := range d.node.dispatch.Stats() {
		for _, r := range pool.Replicas {
			work.Replicas = append(work.Replicas, &drainv1.ReplicaWork{
				Upstream: upstream, Replica: r.Name, Running: int32(r.Running), Leaving: r.Leaving,
			})
		}
		for _, c := range pool.Classes {
			work.Classes = append(work.Classes, &drainv1.ClassWork{
				Upstream: upstream, Class: c.Name, Running: int32(c.Running), Waiting: int32(c.Waiting),
			})
		}
	}
	slices.SortFunc(work.Replicas, func(a, b *drainv1.ReplicaWork) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Replica, b.Replica))
	})
	return work
}

func (d *drains) withdrawnSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.withdrawn
}

// duties are the leases that the node holds.
func (d *drains) duties() []string {
	var held []string
	if d.node.moves.held() {
		held = append(held, "lease "+controlLease)
	}
	if n := d.node.claims.held(); n > 0 {
		held = append(held, fmt.Sprintf("%d claim shards", n))
	}
	return held
}

// Withdraw implements drain.Local. The claims' shards go on by themselves: they
// follow the members that serve.
func (d *drains) Withdraw() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.withdrawn.IsZero() {
		return
	}
	d.withdrawn = time.Now()
	d.node.members.runner.Leave()
	d.node.moves.handOn()
}

// Restore implements drain.Local.
func (d *drains) Restore() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.withdrawn.IsZero() || d.node.leaving.Load() {
		return
	}
	d.withdrawn = time.Time{}
	d.node.members.runner.CancelLeave()
	d.node.moves.takeUp()
}

// RegionWork implements drain.Local.
func (d *drains) RegionWork(ctx context.Context) *drainv1.GetRegionWorkResponse {
	return d.client.RegionWork(ctx)
}

// Free implements drain.Local.
func (d *drains) Free(ctx context.Context, upstreams []string) (float64, error) {
	index := d.node.config.Load()
	if index == nil {
		return 0, errNoConfiguration
	}
	free := 0.0
	for _, name := range upstreams {
		u, ok := index.Upstream(name)
		if !ok {
			return 0, &intent.FieldError{Field: "upstream", Value: name, Message: "is not configured here"}
		}
		free += intent.Slots(*u)
	}
	for _, answer := range d.client.Everywhere(ctx) {
		if answer.Err != nil {
			return 0, answer.Err
		}
		for _, r := range answer.Work.GetReplicas() {
			if slices.Contains(upstreams, r.GetUpstream()) && !r.GetLeaving() {
				free -= float64(r.GetRunning())
			}
		}
	}
	return max(0, free), nil
}

// errNoConfiguration says that no configuration is in force yet.
var errNoConfiguration = errors.New("no configuration is in force yet")
