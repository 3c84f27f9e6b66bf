package edge

import (
	"errors"
	"net"
	"testing"
)

// Guards against nodes that open connections to any address for whoever reaches their peer listener.
func TestNodeConnectsForOthersToRegisteredReplicasOnly(t *testing.T) {
	d := newDeployment(t)
	d.waitUntilAllReady()
	n := d.nodes[0]
	conn, err := n.dialForNode(t.Context(), d.replica("i-1").Address)
	if err != nil {
		t.Fatalf("a registered replica: %v", err)
	}
	conn.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if _, err := n.dialForNode(t.Context(), listener.Addr().String()); !errors.Is(err, errNotRegistered) {
		t.Errorf("another address: error %v, want %v", err, errNotRegistered)
	}
}
