package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/configsync"
	configsyncv1 "galenatrestle/internal/gen/trestle/configsync/v1"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/platform/memstore"
)

const (
	spreadChanges = 5
	// leastIdle is longer than the longest time between two pulls.
	leastIdle   = 2500 * time.Millisecond
	spreadLimit = 10 * time.Second
	spreadPoll  = 2 * time.Millisecond
)

// Spread runs so many configuration syncers in this process and returns what an
// idle second and a change cost a node, and how long a change takes to be in
// force at all of them.
func Spread(ctx context.Context, fleet Fleet, nodes []int, idleFor time.Duration) ([]Slope, error) {
	base := Slope{Role: RoleConfiguration, Against: "nodes in the region", Target: fleet.NodesPerRegion()}
	idleBytes, idleCalls, bytes, acceptor, inForce := base, base, base, base, base
	idleBytes.Quantity, idleBytes.Unit = "idle bytes in and out", "B/s"
	idleCalls.Quantity, idleCalls.Unit = "idle calls made and answered", "1/s"
	bytes.Quantity, bytes.Unit = "bytes a change, a node's mean", "B"
	acceptor.Quantity, acceptor.Unit = "bytes a change, the accepting node", "B"
	inForce.Quantity, inForce.Unit = "time from proposal until in force at all", "s"
	for _, n := range nodes {
		cost, err := spreadAt(ctx, fleet, n, idleFor)
		if err != nil {
			return nil, err
		}
		idleBytes.add(n, cost.idleBytes)
		idleCalls.add(n, cost.idleCalls)
		bytes.add(n, cost.bytes)
		acceptor.add(n, cost.acceptor)
		inForce.add(n, cost.inForce)
	}
	mean, err := newSlope(bytes, Log2)
	if err != nil {
		return nil, err
	}
	straight, err := fitAll(idleBytes, idleCalls, acceptor, inForce)
	return append(straight, mean), err
}

// spreadCost is one size's figures.
type spreadCost struct{ idleBytes, idleCalls, bytes, acceptor, inForce float64 }

// spreadNet joins syncers in this process and is the view of each.
type spreadNet struct {
	store   *memstore.Store
	members []membership.Member

	nodes map[string]*spreadNode
}

type spreadNode struct {
	*configsync.Syncer
	net      *spreadNet
	self     membership.Member
	current  *configsync.Current
	registry *prometheus.Registry
}

func spreadAt(ctx context.Context, fleet Fleet, n int, idleFor time.Duration) (spreadCost, error) {
	ctx, stop := context.WithCancel(ctx)
	idleFor = max(idleFor, leastIdle)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	net := newSpreadNet(n)
	for _, node := range net.nodes {
		running.Go(func() { _ = node.Run(ctx) })
	}
	return net.measure(ctx, fleet, n, idleFor)
}

func newSpreadNet(n int) *spreadNet {
	net := &spreadNet{
		store: memstore.New(memstore.Config{WritesPerSecond: 1e6, ReadsPerSecond: 1e6}),
		nodes: make(map[string]*spreadNode),
	}
	for i := range n {
		name := fmt.Sprintf("vm-%02d", i)
		net.members = append(net.members, membership.Member{Name: name, PeerAddress: name, State: membership.StateServing})
	}
	repository := newRepository(net.store)
	for i, self := range net.members {
		net.nodes[self.Name] = newSpreadNode(net, self, repository, uint64(i))
	}
	return net
}

func newSpreadNode(net *spreadNet, self membership.Member, repository *configsync.Repository, seed uint64) *spreadNode {
	log := logrus.New()
	log.SetOutput(io.Discard)
	node := &spreadNode{net: net, self: self, current: configsync.NewCurrent(), registry: prometheus.NewRegistry()}
	node.Syncer = configsync.New(configsync.Options{
		Repository: repository, Current: node.current, View: node, Peers: node,
		Seed: seed, Log: log, Registry: node.registry,
	})
	return node
}

func (s *spreadNet) measure(ctx context.Context, fleet Fleet, n int, idleFor time.Duration) (spreadCost, error) {
	first := document(fleet, fleet.Workspaces/100, fleet.Replicas/100)
	acceptor := s.nodes[s.members[0].Name]
	accept := func(weight float64) (time.Duration, error) {
		begun := time.Now()
		record, err := acceptor.Accept(ctx, configsync.Request{Document: changed(first, weight), Author: "capacity"})
		if err != nil {
			return 0, err
		}
		return s.await(begun, record.Revision)
	}
	if _, err := accept(1); err != nil {
		return spreadCost{}, err
	}
	time.Sleep(idleFor / 2)
	start := s.spent("")
	time.Sleep(idleFor)
	idle := s.spent("").minus(start)
	before, mine := s.spent(""), s.spent(acceptor.self.Name)
	longest := time.Duration(0)
	begun := time.Now()
	for i := range spreadChanges {
		took, err := accept(float64(i + 2))
		if err != nil {
			return spreadCost{}, err
		}
		longest = max(longest, took)
	}
	elapsed := time.Since(begun).Seconds()
	all, own := s.spent("").minus(before), s.spent(acceptor.self.Name).minus(mine)
	seconds := idleFor.Seconds() * float64(n)
	rate := idle.bytes / seconds
	return spreadCost{
		idleBytes: rate, idleCalls: idle.messages / seconds,
		bytes:    (all.bytes/float64(n) - rate*elapsed) / spreadChanges,
		acceptor: (own.bytes - rate*elapsed) / spreadChanges,
		inForce:  longest.Seconds(),
	}, nil
}

// errNotInForce says that a change did not reach all nodes.
var errNotInForce = errors.New("capacity: a change was not in force everywhere in time")

// await returns how long the revision took, from start, to be in force at all
// nodes.
func (s *spreadNet) await(start time.Time, revision int64) (time.Duration, error) {
	for time.Since(start) < spreadLimit {
		if s.allAt(revision) {
			return time.Since(start), nil
		}
		time.Sleep(spreadPoll)
	}
	return 0, errNotInForce
}

func (s *spreadNet) allAt(revision int64) bool {
	for _, node := range s.nodes {
		if node.current.Revision() < revision {
			return false
		}
	}
	return true
}

// Pull implements configsync.Peers.
func (n *spreadNode) Pull(_ context.Context, address string, request *configsyncv1.PullRequest) (*configsyncv1.PullResponse, error) {
	return n.net.nodes[address].AnswerPull(request)
}

// Notify implements configsync.Peers.
func (n *spreadNode) Notify(_ context.Context, address string, request *configsyncv1.NotifyRequest) (*configsyncv1.NotifyResponse, error) {
	return n.net.nodes[address].AnswerNotify(request), nil
}

// Self implements membership.View.
func (n *spreadNode) Self() membership.Member { return n.self }

// Members implements membership.View. Heartbeats bring no revision here.
func (n *spreadNode) Members() []membership.Member { return n.net.members }

// Owner implements membership.View. The keys end in different digits.
func (n *spreadNode) Owner(key string) membership.Member {
	return n.net.members[int(key[len(key)-1])%len(n.net.members)]
}
