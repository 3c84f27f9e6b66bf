package handover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

// Two data centres in one process, with a small model of the data path whose
// runs are recorded as ground truth.

const (
	simUpstream = "tab-api"
	simLeaseTTL = 2 * time.Second
	simDeadline = 20 * time.Second
)

var errSimLink = errors.New("link: no answer")

type simRun struct {
	id    string
	side  string
	start time.Time
	ended bool
}

// simTruth is what really happened.
type simTruth struct {
	mu   sync.Mutex
	runs []*simRun
}

func (t *simTruth) begin(id, side string) *simRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	run := &simRun{id: id, side: side, start: time.Now()}
	t.runs = append(t.runs, run)
	return run
}

func (t *simTruth) end(run *simRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.ended = true
}

type simPreparer struct{}

func (simPreparer) Prepare(context.Context, Move) (bool, error) { return true, nil }
func (simPreparer) Release(context.Context, Set) error          { return nil }

// simNode is one process of one side.
type simNode struct {
	side *simSide
	name string

	mu sync.Mutex
	simParts
	// cutUntil ends a time in which callers alone reach the node.
	cutUntil time.Time
	life     context.Context
	kill     context.CancelFunc
}

// simParts are what a node's process consists of; a restart makes new ones.
type simParts struct {
	gate     *Gate
	driver   *Driver
	receiver *Receiver
}

func (n *simNode) parts() simParts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.simParts
}

type simSide struct {
	world  *simWorld
	name   string
	home   bool
	kv     *memstore.Store
	ledger *simLedger
	nodes  []*simNode
	other  *simSide
	inner  *simLink
	// holder is the node that drives the side's moves.
	holder atomic.Pointer[simNode]
}

type simWorld struct {
	ctx    context.Context
	timing Timing
	truth  *simTruth
	// interval is the mean time between two requests.
	interval time.Duration
	// callersAt is the number of sides that callers go to, from the home side.
	callersAt int
	outer     *simLink
	sides     [2]*simSide
	work      sync.WaitGroup
	random    *rand.Rand
	// arrow, where set, is called around each message between the sides.
	arrow func(kind MessageKind, after bool)
}

func newSimWorld(ctx context.Context, seed uint64) *simWorld {
	link := func(salt uint64) *simLink {
		return &simLink{random: rand.New(rand.NewPCG(seed, salt)), delay: time.Millisecond}
	}
	w := &simWorld{ctx: ctx, timing: DefaultTiming(), interval: 50 * time.Millisecond, callersAt: 2, truth: &simTruth{}, outer: link(1), random: rand.New(rand.NewPCG(seed, 2))}
	w.outer.delay = 10 * time.Millisecond
	for i, name := range []string{"west", "east"} {
		kv := memstore.New(memstore.Config{Seed: seed, WritesPerSecond: 1e6, ReadsPerSecond: 1e6})
		side := &simSide{world: w, name: name, home: i == 0, kv: kv, inner: link(uint64(3 + i))}
		side.ledger = &simLedger{kv: kv, claims: map[string]string{}}
		for n := range 3 {
			side.nodes = append(side.nodes, &simNode{side: side, name: fmt.Sprintf("%s-%d", name, n)})
		}
		w.sides[i] = side
	}
	w.sides[0].other, w.sides[1].other = w.sides[1], w.sides[0]
	for _, side := range w.sides {
		for _, n := range side.nodes {
			n.start()
		}
	}
	return w
}

// start starts the node's process.
func (n *simNode) start() {
	w := n.side.world
	log := logrus.New()
	log.SetOutput(io.Discard)
	metrics := NewMetrics(prometheus.NewRegistry())
	store := NewMoveStore(&cutStore{Store: n.side.kv, node: n}, w.newID)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.life, n.kill = context.WithCancel(w.ctx)
	n.gate = NewGate(func(string, string) bool { return n.side.home }, w.timing, metrics, time.Now)
	n.receiver = NewReceiver(store, n.side.ledger, metrics, log, time.Now)
	n.driver = NewDriver(DriverConfig{
		Store: store, Address: n.name, DataCentre: n.side.name, RelayAddress: n.side.name,
		Peer: n.side, Nodes: n.side, Claims: n.side.ledger, Preparer: simPreparer{},
		Timing: w.timing, Metrics: metrics, Log: log, Now: time.Now,
	})
	agent := NewAgent(n.gate, store, n.side, n.side, n.name, w.timing, time.Now)
	life, driver, holder := n.life, n.driver, n.name+w.newID()
	w.work.Go(func() { agent.Run(life) })
	w.work.Go(func() { n.side.duty(life, n, driver, holder) })
}

func (n *simNode) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.kill()
}

func (n *simNode) alive() (context.Context, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life, n.life.Err() == nil
}

func (w *simWorld) newID() string {
	w.truth.mu.Lock()
	defer w.truth.mu.Unlock()
	return fmt.Sprintf("%016x", w.random.Uint64())
}

// duty holds the lease of the side's moves and runs the driver under it.
func (s *simSide) duty(ctx context.Context, n *simNode, driver *Driver, holder string) {
	for ctx.Err() == nil {
		lease, err := s.kv.Acquire(ctx, "handover", holder, simLeaseTTL)
		if err == nil && !n.isCut() {
			s.holder.Store(n)
			s.hold(ctx, driver, lease)
		}
		sleep(ctx, simLeaseTTL/4)
	}
}

func (s *simSide) hold(ctx context.Context, driver *Driver, lease platform.Lease) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.world.work.Go(func() {
		defer cancel()
		_ = driver.Run(ctx, lease.Epoch)
	})
	last := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, simLeaseTTL/4)
		asked := time.Now()
		renewed, err := s.kv.Renew(ctx, lease)
		if err == nil && !s.holder.Load().isCut() {
			lease, last = renewed, asked
		}
		if time.Since(last) > simLeaseTTL {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Deliver carries a message to a live node of the other side.
func (s *simSide) Deliver(ctx context.Context, _ string, m Message) (Receipt, error) {
	s.world.atArrow(m.Kind, false)
	defer s.world.atArrow(m.Kind, true)
	return simCall(ctx, s.world.outer, func() (Receipt, error) {
		for _, n := range s.other.nodes {
			life, ok := n.alive()
			if !ok || n.isCut() {
				continue
			}
			return n.parts().receiver.Deliver(life, m)
		}
		return Receipt{}, errSimLink
	})
}

func (w *simWorld) atArrow(kind MessageKind, after bool) {
	if w.arrow != nil {
		w.arrow(kind, after)
	}
}

func (s *simSide) node(name string) (*simNode, error) {
	for _, n := range s.nodes {
		if _, ok := n.alive(); ok && n.name == name && !n.isCut() {
			return n, nil
		}
	}
	return nil, errSimLink
}
