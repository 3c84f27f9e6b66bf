package nodesync

import (
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/peer"
)

// serve serves the node's exchange on a loopback address and returns a target for it.
func (n *testNode) serve(t *testing.T) target {
	t.Helper()
	registry := prometheus.NewRegistry()
	keys, err := peer.NewKeys(peer.KeyFiles{}, registry)
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(keys, registry)
	server.Mount(n.Handler())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return target{name: n.options.Self().Name, address: listener.Addr().String()}
}

func (n *testNode) withClients(t *testing.T) *testNode {
	t.Helper()
	registry := prometheus.NewRegistry()
	keys, err := peer.NewKeys(peer.KeyFiles{}, registry)
	if err != nil {
		t.Fatal(err)
	}
	clients := peer.NewClients(keys, peer.Settings{}, registry)
	t.Cleanup(clients.Close)
	n.SetClients(clients)
	return n
}

// TestLongListingIsFetchedInPages guards against a response that is too long to arrive within the time
// limit of a call while several nodes ask for it.
func TestLongListingIsFetchedInPages(t *testing.T) {
	a, b := newTestNode("a", 100*second).withClients(t), newTestNode("b", 100*second)
	b.options.Replicas.Update(listingOf(5, 3*maxReplicasInResponse), b.now-second, b.now)
	to := b.serve(t)
	reply := b.response(a.request(to, a.now))
	if !reply.GetReplicasOmitted() || len(reply.GetReplicas()) != 0 {
		t.Fatalf("%d replicas in the response, omitted: %v", len(reply.GetReplicas()), reply.GetReplicasOmitted())
	}
	a.fetchListing(t.Context(), to)
	checkListing(t, a, b)
	if _, readAt := a.options.Replicas.Latest(); readAt != a.now.Add(-time.Second) {
		t.Errorf("the listing was read %s ago, want 1s", a.now.Sub(readAt))
	}
	// Later changes are part of the responses again.
	b.options.Replicas.Update(listingOf(6, 3*maxReplicasInResponse, 7), b.now, b.now)
	a.exchangeWith(t, b, 0, 0)
	checkListing(t, a, b)
}

// TestNodeWithoutListingSendsNone covers a hub that was asked before it has the whole listing.
func TestNodeWithoutListingSendsNone(t *testing.T) {
	a, b := newTestNode("a", 100*second).withClients(t), newTestNode("b", 100*second)
	a.fetchListing(t.Context(), b.serve(t))
	if _, readAt := a.options.Replicas.Latest(); readAt != boottime.Instant(0) {
		t.Errorf("a listing was taken from a node that has none")
	}
}
