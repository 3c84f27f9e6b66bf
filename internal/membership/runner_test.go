package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

var errUnreachable = errors.New("unreachable")

// memoryNet joins runners in memory; each message is copied as on a wire.
type memoryNet struct {
	mu      sync.Mutex
	runners map[string]*Runner
}

func (m *memoryNet) runner(address string) (*Runner, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.runners[address]; ok {
		return r, nil
	}
	return nil, errUnreachable
}

func (m *memoryNet) Sync(ctx context.Context, address string, r *membershipv1.SyncRequest) (*membershipv1.SyncResponse, error) {
	to, err := m.runner(address)
	if err != nil {
		return nil, err
	}
	response, err := to.Sync(ctx, connect.NewRequest(proto.CloneOf(r)))
	if err != nil {
		return nil, err
	}
	return proto.CloneOf(response.Msg), nil
}

func (m *memoryNet) Probe(ctx context.Context, address string, r *membershipv1.ProbeRequest) (*membershipv1.ProbeResponse, error) {
	to, err := m.runner(address)
	if err != nil {
		return nil, err
	}
	response, err := to.Probe(ctx, connect.NewRequest(proto.CloneOf(r)))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (m *memoryNet) kill(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.runners, address)
}

func TestRunnersJoinSpreadAndNoticeDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		net := &memoryNet{runners: make(map[string]*Runner)}
		var running sync.WaitGroup
		var got sync.Map
		stops := make(map[string]context.CancelFunc)
		const n = 5
		for i := range n {
			name := nodeName("r", i)
			self := Member{Name: name, Region: "r", PeerAddress: name, Incarnation: 1, State: StateServing}
			r := NewRunner(self, Settings{}, net, rand.New(rand.NewPCG(3, uint64(i))))
			r.AddSeed(nodeName("r", 0))
			r.OnNote("k", func(n *membershipv1.Note) { got.Store(name, string(n.Value)) })
			net.runners[name] = r
			own, stop := context.WithCancel(ctx)
			stops[name] = stop
			running.Go(func() { r.Run(own) })
		}
		time.Sleep(20 * time.Second)
		first := net.runners[nodeName("r", 0)]
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
				t.Errorf("node %d got %v as note", i, value)
			}
		}
		net.kill(nodeName("r", 4))
		stops[nodeName("r", 4)]()
		time.Sleep(20 * time.Second)
		for _, m := range first.Members() {
			if m.Name == nodeName("r", 4) {
				t.Errorf("the killed member is still %s", m.State)
			}
		}
		cancel()
		running.Wait()
		for _, stop := range stops {
			stop()
		}
	})
}
