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

// BenchmarkExchange measures an exchange with a hub, if the fleet has hubs, without the
// transport. bytes/op counts both messages.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []struct{ nodes, replicas int }{{8, 20}, {66, 60}, {360, 350}, {300, 3000}} {
		b.Run(fmt.Sprintf("nodes=%d/replicas=%d", size.nodes, size.replicas), func(b *testing.B) {
			caller, hub := benchFleet(size.nodes, size.replicas)
			bytes := 0
			b.ResetTimer()
			for range b.N {
				request := caller.request(target{name: hub.options.Self().Name}, caller.now)
				response, err := hub.Exchange(context.Background(), connect.NewRequest(request))
				if err != nil {
					b.Fatal(err)
				}
				bytes += proto.Size(request) + proto.Size(response.Msg)
				caller.handleResponse(response.Msg, request, caller.now)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
		})
	}
}

// benchFleet returns a node and the hub of its availability zone, which has the loads
// of all nodes.
func benchFleet(n, replicas int) (caller, hub *testNode) {
	listing := replica.Listing{Revision: 2}
	for i := range replicas {
		listing.Replicas = append(listing.Replicas, replica.Replica{ID: fmt.Sprintf("i-%010d", i), Upstream: "u", Address: fmt.Sprintf("10.1.64.%d:8400", i), Slots: 32})
	}
	nodes := largeFleet(n)
	hubs := nodes[0].hubs(100 * second)
	for i, node := range nodes {
		node.options.SumsMaxAge = DefaultSumsMaxAge
		node.options.Replicas.Update(listing, 100*second, 100*second)
		for session := range 10 {
			node.options.Placer.Choose(time.Now(), "u", &placement.Request{PromptTokens: 900, Shared: []placement.PromptPart{{ID: uint64(i*10 + session), Tokens: 100}}})
		}
	}
	hub, caller = nodes[0], nodes[1]
	if len(hubs) > 0 {
		hub = findNode(nodes, hubs[0].Name)
		caller = memberOf(nodes, hubs[0].Name)
	}
	for _, node := range nodes {
		self := node.options.Self()
		hub.options.Placer.SetPeerLoads(self.Name, node.options.Placer.Loads(time.Now()), hubFor(self, hubs).Name == hub.options.Self().Name, n, time.Now().Add(time.Hour))
	}
	return caller, hub
}
