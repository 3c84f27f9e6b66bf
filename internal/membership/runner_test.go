package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
	"galenatrestle/internal/membership/membershiptest"
)

func TestRunnersJoinGossipAndDetectDeath(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		net := membershiptest.NewNetwork()
		var running sync.WaitGroup
		var runners []*Runner
		var got sync.Map
		stops := make(map[string]context.CancelFunc)
		const n = 5
		for i := range n {
			name := nodeName("r", i)
			self := Member{Name: name, Region: "r", PeerAddress: name, Incarnation: 1, State: StateServing}
			r := NewRunner(self, Settings{}, net, rand.New(rand.NewPCG(3, uint64(i))))
			r.AddSeed(nodeName("r", 0))
			r.OnNote("k", func(n *membershipv1.Note) { got.Store(name, string(n.Value)) })
			net.Register(name, r)
			runners = append(runners, r)
			runCtx, stop := context.WithCancel(ctx)
			stops[name] = stop
			running.Go(func() { r.Run(runCtx) })
		}
		time.Sleep(20 * time.Second)
		first := runners[0]
		if serving := first.View().Serving(); serving != n {
			t.Errorf("%d members joined, want %d", serving, n)
		}
		note := &membershipv1.Note{Kind: "k", Key: "a", Version: 1, Value: []byte("v"), Expires: time.Now().Add(time.Minute).UnixMilli()}
		if err := first.Publish(note); err != nil {
			t.Error(err)
		}
		time.Sleep(3 * time.Second)
		for i := 1; i < n; i++ {
			if value, _ := got.Load(nodeName("r", i)); value != "v" {
				t.Errorf("node %d received note value %v, want v", i, value)
			}
		}
		net.Unregister(nodeName("r", 4))
		stops[nodeName("r", 4)]()
		time.Sleep(20 * time.Second)
		for _, m := range first.Members() {
			if m.Name == nodeName("r", 4) {
				t.Errorf("the stopped member is still %s", m.State)
			}
		}
		cancel()
		running.Wait()
		for _, stop := range stops {
			stop()
		}
	})
}
