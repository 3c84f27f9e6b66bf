package nodesync

import (
	"context"
	"fmt"
	"testing"

	"connectrpc.com/connect"
)

// BenchmarkRoundParts measures the parts of a round and of its responses without the
// transport.
func BenchmarkRoundParts(b *testing.B) {
	for _, nodes := range []int{20, 100, 300, 1000} {
		member, hub := benchFleet(nodes, 160)
		parts := []struct {
			name string
			run  func()
		}{
			{"targets", func() { member.targets() }},
			{"choose_hubs", func() { member.chooseHubs(member.options.Self(), member.now) }},
			{"told", func() { member.nodesForResponse("z0", member.now) }},
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

// exchange makes one call without its transport.
func exchange(b *testing.B, caller, callee *testNode) {
	request := caller.request(target{name: callee.options.Self().Name}, caller.now)
	response, err := callee.Exchange(context.Background(), connect.NewRequest(request))
	if err != nil {
		b.Fatal(err)
	}
	caller.handleResponse(response.Msg, request, caller.now)
}
