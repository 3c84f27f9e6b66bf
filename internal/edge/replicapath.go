package edge

import (
	"context"
	"fmt"
	"math/rand/v2"

	"galenatrestle/internal/replica"
	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/replicapath"
	"galenatrestle/internal/replicapath/replicapathrpc"
)

// newReplicaPath returns the dialer of connections to replicas.
func (n *Node) newReplicaPath() *replicapath.Dialer {
	direct := n.options.DialReplica
	if direct == nil {
		direct = replicaconn.TCPDial(replicaconn.DefaultDialTimeout)
	}
	return replicapath.NewDialer(replicapath.Options{
		Direct: direct, Addresses: n.replicaAddresses, Helpers: n.replicaPathHelpers, OnLost: n.onReplicaPathLost,
		Rand: rand.New(rand.NewPCG(n.options.Seed, 6)), Log: n.log, Registry: n.registry,
	})
}

// onReplicaPathLost drops what this node has learned from its own path: idle connections, and
// failures, which other nodes would take for the replicas'.
func (n *Node) onReplicaPathLost() {
	n.conns.CloseIdle()
	n.placer.ForgetFailures()
}

// setUpReplicaPath mounts the handler for other nodes' connections to replicas and lets this node
// connect through them.
func (n *Node) setUpReplicaPath() {
	n.relays = replicapathrpc.NewServer(n.path.DialForNode, n.registry)
	n.peers.Mount(n.relays.Handler())
	n.path.SetDialThrough(replicapathrpc.NewClient(n.clients).DialThrough)
}

// replicaAddresses returns the addresses of the replicas that this node may use.
func (n *Node) replicaAddresses() []string {
	listing, _ := n.replicas.Latest()
	var addresses []string
	for i := range listing.Replicas {
		if r := &listing.Replicas[i]; !r.Draining {
			addresses = append(addresses, r.Address)
		}
	}
	return addresses
}

// replicaPathHelpers returns up to count random nodes that are serving.
func (n *Node) replicaPathHelpers(count int) []replicapath.Helper {
	var helpers []replicapath.Helper
	for _, other := range n.nodes.SampleServing(count, rand.IntN, n.options.Clock()) {
		helpers = append(helpers, replicapath.Helper{Name: other.Name, Address: other.PeerAddress})
	}
	return helpers
}

// probeReplica connects to a replica whose connection broke. A node that reaches no replica at all
// learns nothing of this one.
func (n *Node) probeReplica(ctx context.Context, r replica.Replica) error {
	err := n.conns.Probe(ctx, r.ID, r.Address)
	if err != nil && n.path.Check(ctx) {
		// The error is not wrapped: ECONNREFUSED would mean that the replica ended.
		return fmt.Errorf("%w: %v", replicapath.ErrPathLost, err)
	}
	return err
}
