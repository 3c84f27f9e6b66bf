package node

import (
	"context"
	"net/http"
	"sync/atomic"

	"galenatrestle/internal/config"
	"galenatrestle/internal/dispatch"
	"galenatrestle/internal/explain"
	"galenatrestle/internal/gateway"
	"galenatrestle/internal/inspect"
	"galenatrestle/internal/platform/budget"
	"galenatrestle/internal/upstream"
)

// Handler is what is mounted on the ops address.
type Handler = http.Handler

// Node is one entry VM's process.
type Node struct {
	options   Options
	config    atomic.Pointer[config.Index]
	dispatch  *dispatch.Dispatcher
	gateway   *gateway.Server
	engines   *upstream.Engine
	services  *upstream.Service
	members   *members
	path      *replicaPath
	sync      *configuration
	duties    *budget.Counters
	peers     *peers
	answers   *answers
	claims    *claims
	credits   *credits
	quotas    *quotas
	moves     *moves
	drains    *drains
	timelines *explain.Recorder
	inspector *inspect.Asker
	servers   []*http.Server
	leaving   atomic.Bool
}

// New returns a node that does not serve yet.
func New(options Options) *Node {
	options = options.withDefaults()
	n := &Node{
		options:  options,
		dispatch: dispatch.New(options.AvailabilityZone, options.Seed),
	}
	n.peers = newPeers(options)
	n.members = newMembers(options, n.peers, n.dispatch)
	n.duties = newDutyCounters(options)
	n.sync = newConfiguration(n)
	n.path = newReplicaPath(n)
	n.engines = upstream.NewEngine(upstream.Options{Refused: n.members.refused, Dial: n.path.dialer.Dial})
	n.services = upstream.NewService(upstream.Options{Dial: n.path.dialer.Dial})
	n.answers = newAnswers(options, n.members.runner, n.peers)
	n.claims = newClaims(options, n.members.runner, n.peers)
	n.credits = newCredits(options, n.members.runner, n.peers, n.dispatch)
	n.quotas = newQuotas(options, n.members.runner, n.peers)
	n.drains = newDrains(n)
	n.moves = newMoves(options, n.members.runner, n.peers, n.config.Load, n.drains, n.drainActors())
	n.mountInspector()
	n.gateway = gateway.New(n.gatewayOptions())
	return n
}

// gatewayOptions names the parts that the callers' side works with.
func (n *Node) gatewayOptions() gateway.Options {
	options := gateway.Options{
		Node:     n.options.Name,
		Config:   n.config.Load,
		Members:  n.members.runner,
		Dispatch: n.dispatch,
		Engines:  n.engines,
		Services: n.services,
		Explain:  n.timelines,
		Registry: n.options.Registry,
		Log:      n.options.Log,
	}
	n.answers.offer(&options)
	n.claims.offer(&options)
	n.quotas.offer(&options)
	n.moves.offer(&options)
	return options
}

// Configure puts a configuration into force; a lower revision than the one in
// force is ignored.
func (n *Node) Configure(index *config.Index) {
	if current := n.config.Load(); current != nil && current.Revision() >= index.Revision() {
		return
	}
	n.dispatch.Configure(index.Document())
	n.answers.configure(index.Document())
	n.quotas.configure(index.Document())
	n.members.configure(index)
	n.config.Store(index)
}

// Start begins to serve on all listeners.
func (n *Node) Start() {
	n.serve("entry", n.options.Entry, n.drains.count(n.gateway))
	n.serve("ops", n.options.Ops, n.opsHandler())
	n.servePeers()
	n.members.start()
	n.path.start()
	n.answers.start()
	n.sync.start()
	n.claims.start()
	n.credits.start()
	n.quotas.start()
	n.moves.start()
}

// Stop shuts the node down gracefully: out of the entries, listener open
// through the callers' keep time, requests in flight finished. It returns
// ctx's error where that took too long.
func (n *Node) Stop(ctx context.Context) error {
	n.leaving.Store(true)
	n.members.runner.Leave()
	if err := n.waitKeepTime(ctx); err != nil {
		return err
	}
	n.gateway.Drain()
	var first error
	for _, server := range n.servers {
		if err := server.Shutdown(ctx); err != nil && first == nil {
			first = err
		}
	}
	n.moves.close()
	n.moves.leave(ctx)
	n.claims.close()
	if err := n.peers.server.Shutdown(ctx); err != nil && first == nil {
		first = err
	}
	n.close()
	return first
}

// Close stops the node at once; requests in flight are cut.
func (n *Node) Close() {
	for _, server := range n.servers {
		_ = server.Close()
	}
	_ = n.peers.server.Close()
	n.close()
}

func (n *Node) close() {
	n.moves.close()
	n.claims.close()
	n.sync.close()
	n.answers.close()
	n.credits.close()
	n.quotas.close()
	n.path.close()
	n.members.close()
	n.peers.close()
	n.dispatch.Close()
	n.engines.Close()
	n.services.Close()
}
