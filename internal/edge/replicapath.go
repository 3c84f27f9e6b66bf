package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"

	"galenatrestle/internal/forward"
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
		Direct: direct, Ask: n.askReplica, Addresses: n.replicaAddresses, MayConnect: n.mayBeReplica, Helpers: n.replicaPathHelpers, OnLost: n.onReplicaPathLost,
		Rand: rand.New(rand.NewPCG(n.options.Seed, 6)), Log: n.log, Registry: n.registry,
	})
}

// noReplica is the ID of no replica: a request for it is refused by all, without being run.
const noReplica = "none"

// askReplica asks for any response on a connection to a replica.
func (n *Node) askReplica(ctx context.Context, conn net.Conn) error {
	return replicaconn.Ask(ctx, conn, n.askRequest(conn.RemoteAddr().String()))
}

// askRequest returns a request that no replica runs and each answers at once.
func (n *Node) askRequest(address string) *replicaconn.Request {
	header := n.options.Codec.EncodeAttempt(nil, forward.AttemptHeaders{Replica: noReplica})
	return &replicaconn.Request{Method: http.MethodGet, Target: "/", Host: address, Header: header}
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

// mayBeReplica reports whether a replica may be registered at the address. A node that keeps only a
// part of the registrations can't tell.
func (n *Node) mayBeReplica(address string) bool {
	listing, _ := n.replicas.Latest()
	return listing.Zone != "" || slices.ContainsFunc(listing.Replicas, func(r replica.Replica) bool { return r.Address == address })
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

// replicaPathHelpers returns up to count random nodes that may connect to replicas.
func (n *Node) replicaPathHelpers(count int) []replicapath.Helper {
	var helpers []replicapath.Helper
	for _, other := range n.nodes.SampleReady(count, rand.IntN, n.options.Clock()) {
		helpers = append(helpers, replicapath.Helper{Name: other.Name, Address: other.PeerAddress, Leaving: other.Leaving})
	}
	return helpers
}

// probeReplica connects to a replica whose connection broke. Where the node reaches no replica at all,
// only what another node met tells something of this one.
func probeReplica(ctx context.Context, conns *replicaconn.Pool, path *replicapath.Dialer, r replica.Replica) error {
	err := conns.Probe(ctx, r.ID, r.Address)
	var relayed *replicapath.RelayError
	if err != nil && !errors.As(err, &relayed) && path.Check(ctx) {
		// The error is not wrapped: ECONNREFUSED would mean that the replica ended.
		return fmt.Errorf("%w: %v", replicapath.ErrPathLost, err)
	}
	return err
}
