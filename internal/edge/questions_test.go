package edge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/nodesync"
)

// TestCallersAreToldNodesOfTheirZone: a fleet of three hundred nodes, of which an answer
// can name a part.
func TestCallersAreToldNodesOfTheirZone(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.allServe()
	n := d.nodes[0]
	now := n.options.Clock()
	for i := range 300 {
		zone := fmt.Sprintf("hall-%c", 'a'+i%5)
		n.nodes.Merge(nodesync.Node{
			Name: fmt.Sprintf("far-%d", i), AvailabilityZone: zone, EntryAddress: zone + fmt.Sprintf(".%d:1", i),
			PeerAddress: fmt.Sprintf("127.0.0.1:%d", 1+i), Ready: true, LastSeen: now.Add(nodeTestAhead),
		})
	}
	for _, zone := range []string{"hall-b", "hall-e"} {
		told := n.entryAddresses(zone)
		if len(told) != nodesync.EntryNodesPerZone {
			t.Errorf("%s: %d addresses, want %d", zone, len(told), nodesync.EntryNodesPerZone)
		}
		for _, address := range told {
			if !strings.HasPrefix(address, zone) {
				t.Errorf("callers of %s are sent to %s", zone, address)
			}
		}
	}
	if told := n.entryAddresses(""); len(told) != nodesync.EntryNodesPerZone {
		t.Errorf("a caller that tells no zone gets %d addresses", len(told))
	}
}

// nodeTestAhead keeps the nodes of a test alive though nobody hears of them again.
const nodeTestAhead = 1000 * time.Second
