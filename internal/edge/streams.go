package edge

import (
	"fmt"
	"math/rand/v2"

	"galenatrestle/internal/forward"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/streamorigin"
	"galenatrestle/internal/streamorigin/streamoriginrpc"
)

// streamFleet implements streamorigin.Fleet.
type streamFleet struct{ sync *nodesync.Sync }

// RecordKeepers implements streamorigin.Fleet.
func (f streamFleet) RecordKeepers() ([]streamorigin.Node, bool) {
	keepers, savesItself := f.sync.RecordKeepers()
	return streamNodes(keepers), savesItself
}

// RecordHolders implements streamorigin.Fleet.
func (f streamFleet) RecordHolders() ([]streamorigin.Node, int) {
	holders, known := f.sync.RecordHolders()
	return streamNodes(holders), known
}

// RecordSavers implements streamorigin.Fleet.
func (f streamFleet) RecordSavers() int { return f.sync.RecordSavers() }

func streamNodes(nodes []nodesync.Node) []streamorigin.Node {
	converted := make([]streamorigin.Node, 0, len(nodes))
	for _, n := range nodes {
		converted = append(converted, streamorigin.Node{Name: n.Name, Address: n.PeerAddress})
	}
	return converted
}

// newStreamOrigins returns the tracker of the software versions at which streams began.
func (n *Node) newStreamOrigins() *streamorigin.Tracker {
	s := n.options.Settings
	return streamorigin.New(streamorigin.Options{
		Replicas: n.replicas, Fleet: streamFleet{n.sync}, Peers: streamoriginrpc.NewClient(n.clients, n.options.Clock), Store: n.options.Store,
		Clock: n.options.Clock, Log: n.log, Registry: n.registry, Process: fmt.Sprintf("%s/%x", s.Name, n.options.Seed),
		Rand: rand.New(rand.NewPCG(n.options.Seed, 7)),
	})
}

// onStreamBegan notes the software version of a stream's first events.
func (n *Node) onStreamBegan(c *forward.Call, version string) {
	n.streams.Began(c.StreamAttempt(), streamorigin.Origin{Upstream: c.Upstream, Version: version}, c.Patience(), len(c.Route.Targets) > 1)
}
