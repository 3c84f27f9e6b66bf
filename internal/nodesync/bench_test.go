package nodesync

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"galenatrestle/internal/placement"
	"galenatrestle/internal/replica"
)

// BenchmarkExchange is one exchange without its transport, between nodes of fleets
// of several sizes; bytes/op are those of both messages. The asked node is a hub
// where there are some, and each node uses ten replicas.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []struct{ nodes, replicas int }{{8, 20}, {66, 60}, {360, 350}} {
		b.Run(fmt.Sprintf("nodes=%d/replicas=%d", size.nodes, size.replicas), func(b *testing.B) {
			asking, hub := benchFleet(size.nodes, size.replicas)
			bytes := 0
			b.ResetTimer()
			for range b.N {
				request := asking.request(asking.now)
				response, err := hub.Exchange(context.Background(), connect.NewRequest(request))
				if err != nil {
					b.Fatal(err)
				}
				bytes += proto.Size(request) + proto.Size(response.Msg)
				asking.take(response.Msg, request, asking.now)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
		})
	}
}

// benchFleet returns a node and its zone's hub, which has heard of all others.
func benchFleet(n, replicas int) (asking, hub *testNode) {
	listing := replica.Listing{Revision: 2}
	for i := range replicas {
		listing.Replicas = append(listing.Replicas, replica.Replica{ID: fmt.Sprintf("i-%010d", i), Upstream: "u", Address: fmt.Sprintf("10.1.64.%d:8400", i), Slots: 32})
	}
	nodes := largeFleet(n)
	hubName := nodes[0].hubOf("z0", 100*second).Name
	for i, node := range nodes {
		node.options.Replicas.Take(listing, 100*second, 100*second)
		for range 10 {
			node.options.Placer.Choose(time.Now(), "u", &placement.Request{PromptTokens: 900, Shared: []placement.Part{{ID: uint64(i), Tokens: 100}}})
		}
		self := node.options.Self()
		if self.Name == hubName || (hubName == "" && i == 0) {
			hub = node
		} else if self.AvailabilityZone == "z0" {
			asking = node
		}
	}
	for _, node := range nodes {
		self := node.options.Self()
		hub.options.Placer.SetPeer(self.Name, self.AvailabilityZone, node.options.Placer.Loads(time.Now()), n, time.Now().Add(time.Hour))
	}
	return asking, hub
}
