package edge

import (
	"context"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

// limitRetention is how long the rate of a replica without a registration is kept: it may have
// expired while the replica goes on running.
const limitRetention = time.Minute

// rateLimiter enforces the request rate limits that replicas declare.
type rateLimiter struct {
	node    *Node
	limits  *ratelimit.Table
	permits *ratelimit.Permits
	issuer  *ratelimit.Issuer
	slots   *ratelimit.SlotIssuer

	mu sync.Mutex
	// removed are the processes that are not registered any more, by replica.
	removed map[string]removal
}

// removal is a process whose registration was removed at the given time.
type removal struct {
	process replica.Process
	at      boottime.Instant
}

func newRateLimiter(n *Node) *rateLimiter {
	limits := ratelimit.NewTable(n.options.Clock)
	ratelimit.RegisterMetrics(n.registry, limits)
	slots := ratelimit.NewSlotIssuer()
	ratelimit.RegisterSlotMetrics(n.registry, slots)
	return &rateLimiter{node: n, limits: limits, permits: ratelimit.NewPermits(limits), issuer: ratelimit.NewIssuer(), slots: slots, removed: make(map[string]removal)}
}

// setUp mounts the handler for other nodes' permit requests and lets this node request
// permits from the issuers.
func (r *rateLimiter) setUp() {
	n := r.node
	exchange := ratelimit.NewExchange(ratelimit.Options{
		Table: r.limits, Issuer: r.issuer, Slots: r.slots, Self: n.options.Settings.Name,
		IssuerOf: r.issuerOf, Share: n.sync.SeenFraction, IsRegistered: n.replicas.HasProcess, Clients: n.clients, Log: n.log, Registry: n.registry,
	})
	n.peers.Mount(exchange.Handler())
	r.permits.SetAcquireFunc(exchange.RequestPermit)
	r.permits.SetReportFunc(n.options.Settings.Name, exchange.ReportSlots, func(replica string) string {
		issuer, _ := r.issuerOf(replica)
		return issuer
	})
}

// confirmSlots tells the issuers again and again which slots of brittle replicas this node uses, until
// ctx ends.
func (r *rateLimiter) confirmSlots(ctx context.Context) {
	ticker := time.NewTicker(ratelimit.SlotRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if !r.limits.HasBrittle() {
				continue
			}
			bound := make(map[string]int)
			for _, load := range r.node.placer.Loads(now) {
				bound[load.Replica] = load.Running
			}
			r.permits.ConfirmSlots(ctx, bound)
		}
	}
}

// issuerOf returns the node that issues the replica's permits.
func (r *rateLimiter) issuerOf(replica string) (name, address string) {
	issuer := r.node.sync.PermitIssuer(replica)
	return issuer.Name, issuer.PeerAddress
}

// onReplicaChanges records which replicas are removed, and forgets the former processes of those
// that have restarted.
func (r *rateLimiter) onReplicaChanges(changes []replica.Change, now boottime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		id := c.Replica.ID
		switch c.Kind {
		case replica.Removed:
			r.removed[id] = removal{process: c.Replica.Process(), at: now}
		case replica.Added:
			if former, found := r.removed[id]; found && former.process != c.Replica.Process() {
				r.forget(id)
			}
			delete(r.removed, id)
		}
	}
}

// forgetRemoved forgets the replicas that were removed limitRetention ago or earlier.
func (r *rateLimiter) forgetRemoved(now boottime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, former := range r.removed {
		if now.Sub(former.at) >= limitRetention {
			r.forget(id)
			delete(r.removed, id)
		}
	}
}

// forget drops the state of a replica.
func (r *rateLimiter) forget(replica string) {
	r.limits.Forget(replica)
	r.permits.Forget(replica)
	r.issuer.Forget(replica)
	r.slots.Forget(replica)
}
