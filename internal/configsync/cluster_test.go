package configsync

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/config"
	configsyncv1 "galenatrestle/internal/gen/trestle/configsync/v1"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

// cluster is a set of nodes on an in-process network, for a synctest bubble.
type cluster struct {
	t     *testing.T
	store *memstore.Store
	nodes []*testNode
	ids   atomic.Int64

	mu sync.Mutex
	// cut tells which directed calls fail.
	cut func(from, to string, message string) bool
}

// testNode is one node of a cluster. It implements membership.View and Peers.
type testNode struct {
	*Syncer
	cluster *cluster
	name    string
	state   *Current
	store   *cutStore
	stop    context.CancelFunc
	done    chan struct{}
	// shown are the revisions that heartbeats have brought, by name.
	shown map[string]int64
}

// cutStore is a node's way to the platform.
type cutStore struct {
	platform.Store
	down atomic.Bool
}

func (s *cutStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.down.Load() {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *cutStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Batch, error) {
	if s.down.Load() {
		return platform.Batch{}, platform.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

func newCluster(t *testing.T, nodes int) *cluster {
	c := &cluster{t: t, store: memstore.New(memstore.Config{}), cut: func(string, string, string) bool { return false }}
	for i := range nodes {
		c.nodes = append(c.nodes, c.newNode(fmt.Sprintf("vm-%d", i), uint64(i)))
	}
	return c
}

func (c *cluster) newNode(name string, seed uint64) *testNode {
	n := &testNode{cluster: c, name: name, state: NewCurrent(), store: &cutStore{Store: c.store}, shown: map[string]int64{}}
	newID := func() string { return fmt.Sprintf("id-%d", c.ids.Add(1)) }
	n.Syncer = New(Options{
		Repository: NewRepository(n.store, newID, time.Now), Current: n.state, View: n, Peers: n,
		Seed: seed, Log: quiet(), Registry: prometheus.NewRegistry(),
	})
	return n
}

func (c *cluster) start() {
	for _, n := range c.nodes {
		n.start()
	}
}

func (n *testNode) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop, n.done = cancel, make(chan struct{})
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
}

func (n *testNode) halt() {
	n.stop()
	<-n.done
}

func (c *cluster) halt() {
	for _, n := range c.nodes {
		n.halt()
	}
}

func (c *cluster) setCut(cut func(from, to, message string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

var errCut = errors.New("no route")

func (c *cluster) route(from, to, message string) (*testNode, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut(from, to, message) {
		return nil, errCut
	}
	for _, n := range c.nodes {
		if n.name == to {
			return n, nil
		}
	}
	return nil, errCut
}

// Pull implements Peers.
func (n *testNode) Pull(_ context.Context, address string, request *configsyncv1.PullRequest) (*configsyncv1.PullResponse, error) {
	peer, err := n.cluster.route(n.name, address, messagePull)
	if err != nil {
		return nil, err
	}
	return peer.AnswerPull(request)
}

// Notify implements Peers.
func (n *testNode) Notify(_ context.Context, address string, request *configsyncv1.NotifyRequest) (*configsyncv1.NotifyResponse, error) {
	peer, err := n.cluster.route(n.name, address, messageNotify)
	if err != nil {
		return nil, err
	}
	return peer.AnswerNotify(request), nil
}

// Self implements membership.View.
func (n *testNode) Self() membership.Member { return n.member(n.name) }

// Members implements membership.View.
func (n *testNode) Members() []membership.Member {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var members []membership.Member
	for _, other := range n.cluster.nodes {
		members = append(members, n.member(other.name))
	}
	return members
}

// Owner implements membership.View.
func (n *testNode) Owner(key string) membership.Member {
	owners := map[string]int{"config-watch/0": 0, "config-watch/1": 3, "config-watch/2": 3}
	return n.member(fmt.Sprintf("vm-%d", owners[key]))
}

func (n *testNode) member(name string) membership.Member {
	return membership.Member{
		Name: name, PeerAddress: name, State: membership.StateServing, ConfigRevision: n.shown[name],
	}
}

// document returns a checked document whose one workspace has the weight.
func document(t testing.TB, weight int) *config.Document {
	t.Helper()
	doc, err := config.Parse([]byte(fmt.Sprintf(`
workspaces:
  - {name: w, key_sha256: ["%s"], classes: [c], upstreams: [u], weight: %d}
classes:
  - {name: c, tier: 0, target_answer: 1s, give_up_after: 2s}
upstreams:
  - {name: u, kind: engine, replicas: [{name: r, address: "127.0.0.1:1", availability_zone: z}]}
`, config.HashKey("key"), weight)))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// accept has the node accept a document of the weight.
func (n *testNode) accept(weight int) Record {
	n.cluster.t.Helper()
	record, err := n.Accept(context.Background(), Request{Document: document(n.cluster.t, weight), Author: n.name})
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	return record
}

// awaitAll returns how long it took until all nodes have the revision.
func (c *cluster) awaitAll(revision int64) time.Duration {
	c.t.Helper()
	start := time.Now()
	const step, bound = 10 * time.Millisecond, time.Minute
	for time.Since(start) < bound {
		behind := 0
		for _, n := range c.nodes {
			if n.state.Revision() < revision {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(start)
		}
		time.Sleep(step)
	}
	c.t.Fatalf("revision %d is not in force everywhere after %s", revision, bound)
	return 0
}

// bubble runs the test in a bubble with a started cluster.
func bubble(t *testing.T, nodes int, test func(t *testing.T, c *cluster)) {
	bubbletest.Run(t, func(t *testing.T) {
		c := newCluster(t, nodes)
		c.start()
		defer c.halt()
		test(t, c)
	})
}
