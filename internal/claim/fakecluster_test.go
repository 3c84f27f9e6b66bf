package claim

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"galenatrestle/internal/membership"
	"galenatrestle/internal/platform"
)

// fakeLeases grants leases that end only on release, on expireLeases, or when their node
// is killed.
type fakeLeases struct {
	cluster *cluster
	node    *testNode
}

type fakeTerm struct {
	leases *fakeLeases
	name   string
	epoch  int64
	done   chan struct{}
	once   sync.Once
}

func (t *fakeTerm) Epoch() int64          { return t.epoch }
func (t *fakeTerm) Done() <-chan struct{} { return t.done }

// Held implements Term. It is exact even if the holder was paused.
func (t *fakeTerm) Held(time.Time) bool {
	c := t.leases.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.terms[t.name] == t
}

func (t *fakeTerm) stop() { t.once.Do(func() { close(t.done) }) }

func (t *fakeTerm) Release(context.Context) error {
	t.stop()
	c := t.leases.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.terms[t.name] == t {
		delete(c.terms, t.name)
	}
	return nil
}

func (l *fakeLeases) Acquire(ctx context.Context, name string) (Term, error) {
	c := l.cluster
	if err := c.store.wait(ctx); err != nil {
		return nil, err
	}
	if c.isDead(l.node) {
		return nil, platform.ErrUnavailable
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.terms[name]; current != nil {
		return nil, &platform.HeldError{Current: platform.Lease{Name: name, Holder: HolderName(current.leases.node.name, "run-1", current.leases.node.name), Epoch: current.epoch}}
	}
	c.epochs[name]++
	term := &fakeTerm{leases: l, name: name, epoch: c.epochs[name], done: make(chan struct{})}
	c.terms[name] = term
	l.node.terms = append(l.node.terms, term)
	return term, nil
}

// nodeStore is the platform as seen by one node; it is unreachable once the node is
// dead.
type nodeStore struct {
	*fakeStore
	cluster *cluster
	node    *testNode
}

func (s nodeStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (platform.Entry, error) {
	if s.cluster.isDead(s.node) {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return s.fakeStore.CompareAndSwap(ctx, key, expect, value)
}

func (c *cluster) isDead(node *testNode) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return node.dead
}

// expireLeases ends all leases on the platform. If notify is false, the holders still
// consider themselves holders, as after a pause.
func (c *cluster) expireLeases(notify bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, term := range c.terms {
		delete(c.terms, name)
		if notify {
			term.stop()
		}
	}
}

// cluster is a set of nodes on one platform. It counts the calls sent upstream per key.
type cluster struct {
	store *fakeStore

	mu     sync.Mutex
	terms  map[string]*fakeTerm
	epochs map[string]int64
	nodes  map[string]*testNode
	sent   map[Key]int
	// preferred is the node returned as owner by every view.
	preferred string
	// dropRequest and dropReply, if set, return true to fail a forwarded call before or
	// after it is served.
	dropRequest, dropReply func() bool
	networkDelay           time.Duration
	// nextOutcome, if set, returns the outcome of the next call that runs.
	nextOutcome func() OutcomeKind
	// regions, if set, maps each node to its region; preferredByRegion is then the owner
	// per region. Views include only members of their own region.
	regions           map[string]string
	preferredByRegion map[string]string
}

type testNode struct {
	*Node
	name  string
	stop  context.CancelFunc
	done  chan struct{}
	dead  bool
	terms []*fakeTerm
}

func newCluster() *cluster {
	return &cluster{
		store: newFakeStore(), terms: make(map[string]*fakeTerm), epochs: make(map[string]int64),
		nodes: make(map[string]*testNode), sent: make(map[Key]int), preferred: "n1",
	}
}

type fakeView struct {
	cluster *cluster
	self    string
}

func member(name string) membership.Member {
	return membership.Member{Name: name, PeerAddress: name, State: membership.StateServing}
}

func (v fakeView) region() string { return v.cluster.regions[v.self] }

func (v fakeView) Self() membership.Member {
	self := member(v.self)
	self.Region = v.region()
	return self
}

func (v fakeView) Members() []membership.Member {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	var list []membership.Member
	for _, node := range v.cluster.nodes {
		if !node.dead && v.cluster.regions[node.name] == v.region() {
			list = append(list, member(node.name))
		}
	}
	return list
}

func (v fakeView) Owner(string) membership.Member {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	if v.cluster.regions != nil {
		return member(v.cluster.preferredByRegion[v.region()])
	}
	return member(v.cluster.preferred)
}

type fakePeers struct{ cluster *cluster }

var errConnectionLost = errors.New("connection lost")

func (p fakePeers) reach(address string) (*testNode, error) {
	time.Sleep(p.cluster.networkDelay)
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	node := p.cluster.nodes[address]
	if node == nil || node.dead || (p.cluster.dropRequest != nil && p.cluster.dropRequest()) {
		return nil, errConnectionLost
	}
	return node, nil
}

func (p fakePeers) deliverReply(node *testNode, err error) error {
	time.Sleep(p.cluster.networkDelay)
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	if node.dead || (p.cluster.dropReply != nil && p.cluster.dropReply()) {
		return errConnectionLost
	}
	return err
}

func (p fakePeers) Begin(ctx context.Context, address string, request BeginRequest) (BeginReply, error) {
	node, err := p.reach(address)
	if err != nil {
		return BeginReply{}, err
	}
	reply, err := node.ServeBegin(ctx, request)
	return reply, p.deliverReply(node, err)
}

func (p fakePeers) Finish(ctx context.Context, address string, request FinishRequest) (FinishReply, error) {
	node, err := p.reach(address)
	if err != nil {
		return FinishReply{}, err
	}
	reply, err := node.ServeFinish(ctx, request)
	return reply, p.deliverReply(node, err)
}

func (c *cluster) start(t testing.TB, name string, configure func(*Options)) *testNode {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	node := &testNode{name: name, done: make(chan struct{})}
	options := Options{
		Policy: DefaultPolicy(), Store: nodeStore{c.store, c, node}, Leases: &fakeLeases{cluster: c, node: node},
		View: fakeView{cluster: c, self: name}, Peers: fakePeers{cluster: c}, Log: log,
		Random: rand.New(rand.NewPCG(1, uint64(len(name)))),
	}
	options.Policy.Shards = 1
	if configure != nil {
		configure(&options)
	}
	created, err := NewNode(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	node.Node, node.stop = created, cancel
	c.mu.Lock()
	c.nodes[name] = node
	c.mu.Unlock()
	go func() {
		defer close(node.done)
		_ = node.Run(ctx)
	}()
	return node
}

// kill disconnects the node immediately: it can neither be reached nor reach others, and
// it writes nothing more.
func (c *cluster) kill(node *testNode) {
	c.mu.Lock()
	node.dead = true
	for _, term := range node.terms {
		term.stop()
		if c.terms[term.name] == term {
			delete(c.terms, term.name)
		}
	}
	c.mu.Unlock()
}

// waitUntilSettled waits long enough for takeovers and background recording to finish.
func waitUntilSettled() { time.Sleep(10 * time.Second) }
