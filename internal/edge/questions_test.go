package edge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/nodesync"
)

// TestResolveReturnsNodesOfTheCallersZone uses a fleet larger than one response can list.
func TestResolveReturnsNodesOfTheCallersZone(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.waitUntilAllReady()
	n := d.nodes[0]
	now := n.options.Clock()
	for i := range 300 {
		zone := fmt.Sprintf("hall-%c", 'a'+i%5)
		n.nodes.Merge(nodesync.Node{
			Name: fmt.Sprintf("far-%d", i), AvailabilityZone: zone, EntryAddress: zone + fmt.Sprintf(".%d:1", i),
			PeerAddress: fmt.Sprintf("127.0.0.1:%d", 1+i), Ready: true, LastSeen: now.Add(lastSeenAhead),
		})
	}
	for _, zone := range []string{"hall-b", "hall-e"} {
		addresses := n.entryAddresses(zone)
		if len(addresses) != nodesync.EntryNodesPerZone {
			t.Errorf("%s: %d addresses, want %d", zone, len(addresses), nodesync.EntryNodesPerZone)
		}
		for _, address := range addresses {
			if !strings.HasPrefix(address, zone) {
				t.Errorf("a caller in %s gets address %s", zone, address)
			}
		}
	}
	if addresses := n.entryAddresses(""); len(addresses) != nodesync.EntryNodesPerZone {
		t.Errorf("a caller without a zone gets %d addresses", len(addresses))
	}
}

// lastSeenAhead keeps the test's nodes alive without further updates.
const lastSeenAhead = 1000 * time.Second
