package handover

import (
	"context"
	"encoding/json"
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
	"galenatrestle/internal/refusal"
)

// Two data centres in one process, with a small model of the data path whose
// runs are recorded as ground truth.

const (
	simUpstream = "tab-api"
	simLeaseTTL = 2 * time.Second
	simDeadline = 20 * time.Second
)

var errSimLink = errors.New("link: no answer")

// simLink is a connection with faults; each call may be late, lost, or carried
// out twice, and the answer may be lost.
type simLink struct {
	mu       sync.Mutex
	random   *rand.Rand
	cutUntil time.Time
	loss     float64
	double   float64
	delay    time.Duration
	late     sync.WaitGroup
}

func (l *simLink) draw() (wait, lateWait time.Duration, lostGoing, lostComing, doubled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := time.Now().Before(l.cutUntil)
	wait = time.Millisecond + time.Duration(l.random.Int64N(int64(l.delay)+1))
	lateWait = time.Duration(l.random.Int64N(int64(3 * time.Second)))
	lostGoing = cut || l.random.Float64() < l.loss
	lostComing = l.random.Float64() < l.loss
	doubled = !lostGoing && l.random.Float64() < l.double
	return wait, lateWait, lostGoing, lostComing, doubled
}

func (l *simLink) call(ctx context.Context, f func() error) error {
	wait, lateWait, lostGoing, lostComing, doubled := l.draw()
	time.Sleep(wait)
	if lostGoing {
		<-ctx.Done()
		return errSimLink
	}
	if doubled {
		l.late.Go(func() {
			time.Sleep(lateWait)
			_ = f()
		})
	}
	err := f()
	if lostComing {
		<-ctx.Done()
		return errSimLink
	}
	return err
}

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

// simLedger stands for the claims in one side's platform.
type simLedger struct {
	kv    *memstore.Store
	mu    sync.Mutex
	moved bool
	// movedAt is the epoch of the newest export.
	movedAt int64
	claims  map[string]string
}

// claim returns "" for a new claim, "open", or the recorded outcome; false
// where the set has moved away.
func (l *simLedger) claim(key string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, known := l.claims[key]
	if known {
		return state, true
	}
	if l.moved {
		return "", false
	}
	l.claims[key] = "open"
	return "", true
}

func (l *simLedger) settle(key, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claims[key] = outcome
}

func (l *simLedger) up(ctx context.Context) error {
	_, _, err := l.kv.List(ctx, "claim/")
	return err
}

func (l *simLedger) Export(ctx context.Context, _ Set, epoch int64) ([][]byte, error) {
	if err := l.up(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moved, l.movedAt = true, epoch
	parts := []map[string]string{{}, {}}
	for key, state := range l.claims {
		parts[len(key)%2][key] = state
	}
	var out [][]byte
	for _, part := range parts {
		b, err := json.Marshal(part)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

func (l *simLedger) Import(ctx context.Context, _ Set, epoch int64, b []byte) error {
	if err := l.up(ctx); err != nil {
		return err
	}
	var claims map[string]string
	if err := json.Unmarshal(b, &claims); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.movedAt < epoch {
		l.moved = false
	}
	for key, state := range claims {
		if known, ok := l.claims[key]; !ok || known == "open" {
			l.claims[key] = state
		}
	}
	return nil
}

type simPreparer struct{}

func (simPreparer) Prepare(context.Context, Set) (bool, error) { return true, nil }
func (simPreparer) Release(context.Context, Set) error         { return nil }

// simNode is one process of one side.
type simNode struct {
	side *simSide
	name string

	mu sync.Mutex
	// cutUntil ends a time in which callers alone reach the node.
	cutUntil time.Time
	life     context.Context
	kill     context.CancelFunc
	gate     *Gate
	driver   *Driver
	receiver *Receiver
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
	outer  *simLink
	sides  [2]*simSide
	work   sync.WaitGroup
	random *rand.Rand
	// arrow, where set, is called around each message between the sides.
	arrow func(kind MessageKind, after bool)
}

func newSimWorld(ctx context.Context, seed uint64) *simWorld {
	link := func(salt uint64) *simLink {
		return &simLink{random: rand.New(rand.NewPCG(seed, salt)), delay: time.Millisecond}
	}
	w := &simWorld{ctx: ctx, timing: DefaultTiming(), truth: &simTruth{}, outer: link(1), random: rand.New(rand.NewPCG(seed, 2))}
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
	agent := NewAgent(n.gate, store, n.side, n.name, w.timing, time.Now)
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

// Deliver carries a message to a live node of the named side.
func (s *simSide) Deliver(ctx context.Context, _ string, m Message) (Receipt, error) {
	var receipt Receipt
	s.world.atArrow(m.Kind, false)
	defer s.world.atArrow(m.Kind, true)
	err := s.world.outer.call(ctx, func() error {
		for _, n := range s.other.nodes {
			life, ok := n.alive()
			if !ok || n.isCut() {
				continue
			}
			got, err := n.receiver.Deliver(life, m)
			if err == nil {
				receipt = got
			}
			return err
		}
		return errSimLink
	})
	return receipt, err
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

func (s *simSide) Arm(ctx context.Context, node string, m Move) error {
	return s.inner.call(ctx, func() error {
		n, err := s.node(node)
		if err == nil && !n.gate.Arm(m.ID, m.Set, m.Driver, m.DriverEpoch) {
			err = errSimLink
		}
		return err
	})
}

func (s *simSide) Stop(ctx context.Context, node string, m Move) (int64, error) {
	var inFlight int64
	err := s.inner.call(ctx, func() error {
		n, err := s.node(node)
		if err == nil {
			inFlight = n.gate.Stop(m.ID, m.Set, m.DriverEpoch)
		}
		return err
	})
	return inFlight, err
}

func (s *simSide) Permit(ctx context.Context, ask Ask, node string) (bool, error) {
	var permitted bool
	err := s.inner.call(ctx, func() error {
		n, err := s.node(ask.Driver)
		if err == nil {
			permitted = n.driver.Permit(ask.MoveID, node, ask.Epoch)
		}
		return err
	})
	return permitted, err
}

// simAnswer is what a caller got.
type simAnswer struct {
	id string
	// outcome is "answered", "not-run", "unknown" or "open".
	outcome string
	text    string
	waited  time.Duration
}

// handle is the data path: the gate, the claim, the run.
func (n *simNode) handle(ctx context.Context, id, key string, length time.Duration, hops int) simAnswer {
	life, ok := n.alive()
	if !ok || hops > 4 {
		return simAnswer{id: id, outcome: "not-run"}
	}
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(life, cancel)
	for {
		verdict, done, err := n.gate.Await(ctx, simUpstream, "ws")
		if err != nil {
			return simAnswer{id: id, outcome: string(refusal.From(err).Outcome), text: err.Error()}
		}
		if verdict.Kind == Relay {
			return n.relay(ctx, id, key, length, hops)
		}
		waited := time.Since(began)
		answer, again := n.run(life, id, key, length, done)
		answer.waited = waited
		if !again {
			return answer
		}
		if ctx.Err() != nil {
			return simAnswer{id: id, outcome: "not-run"}
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

func (n *simNode) relay(ctx context.Context, id, key string, length time.Duration, hops int) simAnswer {
	for _, other := range n.side.other.nodes {
		if _, ok := other.alive(); ok {
			return other.handle(ctx, id, key, length, hops+1)
		}
	}
	return simAnswer{id: id, outcome: "not-run"}
}

func (n *simNode) run(life context.Context, id, key string, length time.Duration, done func()) (simAnswer, bool) {
	defer done()
	if key != "" {
		state, here := n.side.ledger.claim(key)
		if !here {
			return simAnswer{}, true
		}
		if state == "open" {
			return simAnswer{id: id, outcome: "open"}, false
		}
		if state != "" {
			return simAnswer{id: id, outcome: "answered", text: state}, false
		}
	}
	name := id
	if key != "" {
		name = key
	}
	run := n.side.world.truth.begin(name, n.side.name)
	time.Sleep(length)
	if life.Err() != nil {
		return simAnswer{id: id, outcome: "unknown"}, false
	}
	n.side.world.truth.end(run)
	if key != "" {
		n.side.ledger.settle(key, "result of "+key)
	}
	return simAnswer{id: id, outcome: "answered", text: "result of " + name}, false
}

func (n *simNode) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.cutUntil)
}

func (n *simNode) cutOff(length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutUntil = time.Now().Add(length)
}

// cutStore is the platform as a node that may be cut off reaches it.
type cutStore struct {
	*memstore.Store
	node *simNode
}

func (s *cutStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.node.isCut() {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *cutStore) List(ctx context.Context, prefix string) ([]platform.Entry, int64, error) {
	if s.node.isCut() {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *cutStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (platform.Entry, error) {
	if s.node.isCut() {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value)
}
