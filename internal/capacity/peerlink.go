package capacity

import (
	"context"
	"math/rand/v2"
	"strings"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
	"galenatrestle/internal/membership"
)

const peerCalls = 400

// PeerLink measures a call between two nodes over loopback, both ends together,
// by the bytes of its request. Keys are left out.
func PeerLink(ctx context.Context, _ Fleet, sizes []int) ([]Slope, error) {
	defer fewCores()()
	base := Slope{Role: RolePeerLink, Against: "bytes of the request", Target: 400}
	cpu, wire := base, base
	cpu.Quantity, cpu.Unit = "processor time of a call, both ends", "s"
	wire.Quantity, wire.Unit = "bytes on the connection", "B"
	self := membership.Member{Name: "server", Region: "region-0", PeerAddress: "server"}
	runner := membership.NewRunner(self, membership.Settings{}, nil, rand.New(rand.NewPCG(1, 1)))
	link, err := newPeerLink(runner.Handler())
	if err != nil {
		return nil, err
	}
	defer link.close()
	caller := membership.NewCaller(link.clients)
	for _, size := range sizes {
		request := &membershipv1.SyncRequest{Gossip: &membershipv1.Gossip{Sender: &membershipv1.Member{
			Name: "client", Region: "region-0", PeerAddress: "10.0.0.1:9000", Incarnation: 1,
			EntryAddress: strings.Repeat("x", size),
		}}}
		call := func(n int) {
			for range n {
				_, callErr := caller.Sync(ctx, link.address(), request)
				if callErr != nil {
					err = callErr
				}
			}
		}
		call(peerCalls / 4)
		before := link.listener.Bytes.Load()
		used := cpuOf(func() { call(peerCalls) })
		if err != nil {
			return nil, err
		}
		cpu.add(size, used.Seconds()/peerCalls)
		wire.add(size, float64(link.listener.Bytes.Load()-before)/peerCalls)
	}
	return fitAll(cpu, wire)
}
