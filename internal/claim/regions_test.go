package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/claim"
	"galenatrestle/internal/lease"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

// regionPeers routes claims between nodes by address. It implements claim.Peers.
type regionPeers map[string]*claim.Node

var errNoRoute = errors.New("no route")

func (l regionPeers) Begin(ctx context.Context, address string, request claim.BeginRequest) (claim.BeginReply, error) {
	if node, ok := l[address]; ok {
		return node.ServeBegin(ctx, request)
	}
	return claim.BeginReply{}, errNoRoute
}

func (l regionPeers) Finish(ctx context.Context, address string, request claim.FinishRequest) (claim.FinishReply, error) {
	if node, ok := l[address]; ok {
		return node.ServeFinish(ctx, request)
	}
	return claim.FinishReply{}, errNoRoute
}

type regionLeases struct{ *lease.Source }

func (l regionLeases) Acquire(ctx context.Context, name string) (claim.Term, error) {
	term, err := l.Source.Acquire(ctx, name)
	if err != nil {
		return nil, err
	}
	return term, nil
}

// newRegionNode returns the only node of a region; its view has no other members.
func newRegionNode(t *testing.T, store platform.Store, peers regionPeers, name string) *claim.Node {
	t.Helper()
	address := name + ":9000"
	metrics, err := lease.NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	holder := claim.HolderName(name, "run", address)
	source, err := lease.NewSource(store, holder, lease.DefaultSettings(10*time.Second), metrics, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	self := membership.Member{Name: name, PeerAddress: address, Region: name, State: membership.StateServing}
	table := membership.NewTable(self, membership.Settings{}, rand.New(rand.NewPCG(1, 1)), time.Now())
	node, err := claim.NewNode(claim.Options{
		Store: store, Leases: regionLeases{source}, View: table.Snapshot(), Peers: peers, Random: rand.New(rand.NewPCG(2, 2)),
	})
	if err != nil {
		t.Fatal(err)
	}
	peers[address] = node
	return node
}

// TestClaimsFromAnotherRegion claims at a node whose region holds no shard, repeats the
// calls in the other region, and then stops the holder.
func TestClaimsFromAnotherRegion(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		store := memstore.New(memstore.Config{})
		peers := regionPeers{}
		east, west := newRegionNode(t, store, peers, "east"), newRegionNode(t, store, peers, "west")
		begin := func(node *claim.Node, i int) claim.Verdict {
			key := claim.Key{Workspace: "w", Upstream: "u", IdempotencyKey: fmt.Sprint(i)}
			result, err := node.Begin(t.Context(), key, claim.Fingerprint{})
			if err != nil {
				t.Errorf("claim %d: %v", i, err)
			}
			return result.Verdict
		}
		eastCtx, stopEast := context.WithCancel(t.Context())
		eastDone := run(eastCtx, east)
		time.Sleep(5 * time.Second)
		westCtx, stopWest := context.WithCancel(t.Context())
		westDone := run(westCtx, west)
		time.Sleep(5 * time.Second)

		const claims = 40
		for i := range claims {
			if verdict := begin(west, i); verdict != claim.Run {
				t.Errorf("claim %d from the west: %v, want run", i, verdict)
			}
			if verdict := begin(east, i); verdict == claim.Run {
				t.Errorf("claim %d runs a second time, in the east", i)
			}
		}
		before := store.Calls()[platform.CallAcquire].Calls
		time.Sleep(time.Minute)
		tries := store.Calls()[platform.CallAcquire].Calls - before
		// The west would exceed the bound of 10 tries per shard if it tried at every
		// CheckInterval although the east holds the shards.
		if bound := int64(claim.DefaultShards * 10); tries > bound {
			t.Errorf("the west tried to acquire %d leases per minute while the east held them, want at most %d", tries, bound)
		}

		stopEast()
		<-eastDone
		delete(peers, "east:9000")
		time.Sleep(20 * time.Second)
		for i := range claims {
			if verdict := begin(west, claims+i); verdict != claim.Run {
				t.Errorf("claim %d after the east is gone: %v, want run", claims+i, verdict)
			}
			if verdict := begin(west, i); verdict == claim.Run {
				t.Errorf("claim %d runs again after the east is gone", i)
			}
		}
		stopWest()
		<-westDone
	})
}

func run(ctx context.Context, node *claim.Node) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = node.Run(ctx)
	}()
	return done
}
