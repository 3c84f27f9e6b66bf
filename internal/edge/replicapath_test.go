package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/replicapath"
)

// Guards against nodes that open connections to any address for whoever reaches their peer listener.
func TestNodeConnectsForOthersToRegisteredReplicasOnly(t *testing.T) {
	d := newDeployment(t)
	d.waitUntilAllReady()
	n := d.nodes[0]
	conn, err := n.path.DialForNode(t.Context(), d.replica("i-1").Address)
	if err != nil {
		t.Fatalf("a registered replica: %v", err)
	}
	conn.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if _, err := n.path.DialForNode(t.Context(), listener.Addr().String()); !errors.Is(err, replicapath.ErrNoReplica) {
		t.Errorf("another address: error %v, want %v", err, replicapath.ErrNoReplica)
	}
}

// A crash that another node met was taken for a fault of this node's path, so that the call was sent
// on to further replicas.
func TestCrashThatAnotherNodeMetIsNotTakenForALostPath(t *testing.T) {
	d := newDeployment(t)
	d.waitUntilAllReady()
	n := d.nodes[0]
	met := &replicapath.RelayError{Address: "10.0.0.1:1", Helper: "vm-2", Err: syscall.ECONNREFUSED}
	lost := replicapath.NewDialer(replicapath.Options{
		Direct: func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }, Addresses: n.replicaAddresses,
		Rand: rand.New(rand.NewPCG(1, 1)), Log: n.Node.log, Registry: prometheus.NewRegistry(),
	})
	if !lost.Check(t.Context()) {
		t.Fatal("the path is not lost")
	}
	pool := replicaconn.NewPool(func(context.Context, string) (net.Conn, error) { return nil, met }, nil)
	if err := probeReplica(t.Context(), pool, lost, d.replica("i-1")); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v, want %v", err, syscall.ECONNREFUSED)
	}
}
