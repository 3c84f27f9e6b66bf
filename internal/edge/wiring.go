package edge

import (
	"context"
	"math/rand/v2"

	"galenatrestle/internal/forward"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/passthrough"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/replica"
)

// newSync returns the exchange with the other nodes, which also carries the tracker's
// records.
func (n *Node) newSync(tracker *quarantine.Tracker) *nodesync.Sync {
	return nodesync.New(nodesync.Options{
		Self: n.self, Nodes: n.nodes, Routes: n.routes, Replicas: n.replicas, OnReplicaChanges: n.onReplicaChanges,
		Placer: n.placer, FairShare: n.fairShare, Returns: n.returnTable(), Tracker: tracker, CrashCauses: n.crashCauses,
		RateLimitTable: n.rateLimiter.limits, IdleRoundInterval: n.idleRoundInterval, SumsMaxAge: nodesync.DefaultSumsMaxAge, Clock: n.options.Clock,
		FleetTime: n.duties.clock(), Rand: rand.New(rand.NewPCG(n.options.Seed, 3)), Log: n.log,
	})
}

// newHandler returns the handler for callers' requests.
func (n *Node) newHandler(tracker *quarantine.Tracker) *passthrough.Handler {
	probe := func(ctx context.Context, r replica.Replica) error { return probeReplica(ctx, n.conns, n.path, r) }
	ask := func(ctx context.Context, r replica.Replica) error {
		return n.conns.Ask(ctx, r.ID, r.Address, n.askRequest(r.Address))
	}
	forwarder := forward.New(forward.Options{
		Placer: n.placer, Replicas: n.replicas, Conns: n.conns, Codec: n.options.Codec,
		Budget: n.budget, RateLimits: n.rateLimiter.limits, Permits: n.rateLimiter.permits, Pauses: &n.pauses, Ask: ask, Log: n.log, Registry: n.registry,
		CrashGuard: forward.NewCrashGuard(forward.CrashGuardOptions{
			Tracker: tracker, Causes: n.crashCauses, Probe: probe, OnCrash: n.quarantines.changed, OnRepeatedCrash: n.quarantines.reload, Log: n.log, Registry: n.registry,
		}),
		FairShare: n.fairShare, ObjectivePriority: n.objectivePriority(), OnRun: n.duties.requestCounter(), OnStreamBegan: n.onStreamBegan,
		Returns: n.forwardReturns(),
	})
	return passthrough.New(passthrough.Options{
		Routes: n.routes, Forwarder: forwarder, Codec: n.options.Codec, Clock: n.options.Clock,
		Streams: n.streams, Random: rand.Float64, Bounds: n.bounds,
		NodeCount: n.sharing.nodeCount, OthersServe: func() bool { return n.nodes.HasServing(n.options.Clock()) },
		Log: n.log, Registry: n.registry,
	})
}
