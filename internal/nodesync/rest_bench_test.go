package nodesync

import (
	"context"
	"fmt"
	"testing"

	"connectrpc.com/connect"
)

// BenchmarkRest is the parts of a node's work for the others in fleets of several
// sizes, without the transport of its calls: those of a round, of an answer to
// another member, and of an answer that a hub gives a member. With 300 nodes, sorted
// lists in place of an ordered table took 273 us for targets (9), 442 for choose_hubs
// (35), 195 for told (21), 374 for exchange_hub (166), 234 for exchange_member (44).
func BenchmarkRest(b *testing.B) {
	for _, nodes := range []int{20, 100, 300, 1000} {
		member, hub := benchFleet(nodes, 160)
		parts := []struct {
			name string
			run  func()
		}{
			{"targets", func() { member.targets() }},
			{"choose_hubs", func() { member.chooseHubs(member.options.Self(), member.now) }},
			{"told", func() { member.told("z0", member.now) }},
			{"request_hub", func() { member.request(target{name: hub.options.Self().Name}, member.now) }},
			{"exchange_hub", func() { exchange(b, member, hub) }},
			{"exchange_member", func() { exchange(b, member, member) }},
		}
		for _, part := range parts {
			b.Run(fmt.Sprintf("%s/nodes=%d", part.name, nodes), func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					part.run()
				}
			})
		}
	}
}

// exchange is one call without its transport.
func exchange(b *testing.B, asking, asked *testNode) {
	request := asking.request(target{name: asked.options.Self().Name}, asking.now)
	response, err := asked.Exchange(context.Background(), connect.NewRequest(request))
	if err != nil {
		b.Fatal(err)
	}
	asking.take(response.Msg, request, asking.now)
}
