package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"galenatrestle/internal/config"
	"galenatrestle/internal/gateway"
	"galenatrestle/internal/gen/trestle/handover/v1/handoverv1connect"
	"galenatrestle/internal/handover"
	"galenatrestle/internal/handover/moveplan"
	"galenatrestle/internal/intent"
	"galenatrestle/internal/lease"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/order"
	"galenatrestle/internal/order/orderplan"
	"galenatrestle/internal/platform"
)

const (
	// controlLease is the duty of plans, moves and orders.
	controlLease = "control"
	// controlLeaseTTL is how long plans stand still at most when the duty's
	// holder dies.
	controlLeaseTTL = 10 * time.Second
	// planInterval is how often confirmed plans are looked at.
	planInterval = 500 * time.Millisecond
	// controlStream sets the random source of the duty apart from the others.
	controlStream = 0x6374726c
)

// moves is the node's part in plans, moves between data centres and orders to
// engines. On a node without a platform there are none, and everything starts.
type moves struct {
	options Options
	work    *drains
	// actors are further ones for the steps of plans.
	actors   map[intent.StepKind]intent.Actor
	store    *handover.MoveStore
	gate     *handover.Gate
	agent    *handover.Agent
	driver   *handover.Driver
	executor *intent.Executor
	holder   *lease.Holder
	source   *lease.Source
	stop     context.CancelFunc
	running  sync.WaitGroup
	duty     sync.WaitGroup
	turn     dutyTurn
}

// leases returns those that this process holds.
func (m *moves) leases() []platform.Lease {
	if m == nil || m.source == nil {
		return nil
	}
	return m.source.Held()
}

// newMoves creates the part and mounts its handlers on the peer listener.
func newMoves(options Options, members membership.View, link *peers, configuration func() *config.Index, work *drains, actors map[intent.StepKind]intent.Actor) *moves {
	if options.Store == nil {
		return nil
	}
	m := &moves{options: options, actors: actors, work: work}
	if err := m.build(members, link, configuration); err != nil {
		options.Log.WithError(err).WithField("step", "create moves").Error("plans and moves are not carried out here")
		m.holder = nil
	}
	return m
}

func (m *moves) build(members membership.View, link *peers, configuration func() *config.Index) error {
	o := m.options
	timing := handover.DefaultTiming()
	metrics := handover.NewMetrics(o.Registry)
	weights, _ := o.Store.(platform.Weights)
	sender, err := order.NewSender(order.NewHTTPTransport(), weights, order.DefaultLeaseTiming(controlLeaseTTL), order.NewMetrics(o.Registry), time.Now)
	if err != nil {
		return err
	}
	plans := intent.NewStore(o.Store, noBases{}, uuid.NewString, time.Now)
	store := handover.NewMoveStore(o.Store, uuid.NewString)
	nodes := handover.NewNodeClient(linkDialer{link}, addressOf(members), func() []string { return otherPeers(members) })
	m.store = store
	m.gate = handover.NewGate(o.Home, timing, metrics, time.Now)
	m.agent = handover.NewAgent(m.gate, store, nodes, nodes, o.Name, timing, time.Now)
	receiver := handover.NewReceiver(store, noClaims{}, metrics, o.Log, time.Now)
	m.driver = handover.NewDriver(handover.DriverConfig{
		Store: store, Address: o.PeerAddress, DataCentre: o.DataCentre, RelayAddress: o.EntryAddress,
		Peer: handover.NewCounterparts(linkDialer{link}, o.Counterparts), Nodes: nodes,
		Claims: noClaims{}, Preparer: readiness{configuration: configuration, work: m.work, sender: sender},
		ActivePlans: plans.Active,
		Timing:      timing, Metrics: metrics, Log: o.Log, Now: time.Now,
	})
	link.server.Mount(handoverv1connect.NewHandoverServiceHandler(handover.NewService(receiver)))
	link.server.Mount(handoverv1connect.NewNodeServiceHandler(handover.NewNodeService(m.gate, m.driver)))
	return m.buildDuty(store, plans, sender, members, configuration)
}

// buildDuty creates what runs under the lease.
func (m *moves) buildDuty(store *handover.MoveStore, plans *intent.Store, sender *order.Sender, members membership.View, configuration func() *config.Index) error {
	o := m.options
	leaseMetrics, err := lease.NewMetrics(o.Registry)
	if err != nil {
		return err
	}
	source, err := lease.NewSource(o.Store, o.Name+"/"+uuid.NewString(), lease.DefaultSettings(controlLeaseTTL), leaseMetrics, time.Now)
	if err != nil {
		return err
	}
	actors := maps.Clone(m.actors)
	mover := moveplan.NewActor(store, m.driver, movable(configuration), m.work.load, time.Now)
	for _, kind := range moveplan.Kinds {
		actors[kind] = mover
	}
	actors[intent.StepDeclareDead] = moveplan.NewDeadActor(store)
	orders := orderplan.NewActor(sender, configuration)
	for _, kind := range orderplan.Kinds {
		actors[kind] = orders
	}
	m.executor = intent.NewExecutor(plans, actors, intent.NewMetrics(o.Registry), o.Log)
	callbacks := lease.Callbacks{
		OnGained:  m.gained,
		OnLost:    func(int64, lease.EndReason) { m.duty.Wait() },
		Observers: []lease.Observer{sender},
	}
	m.source = source
	m.holder = lease.NewHolder(source, controlLease, callbacks, rand.New(rand.NewPCG(o.Seed, controlStream)))
	m.holder.SetPreferred(func() bool { return members.Owner(controlLease).Name == o.Name })
	return nil
}

// gained runs the duty until ctx ends with the term.
func (m *moves) gained(ctx context.Context, epoch int64) {
	m.duty.Go(func() { _ = m.driver.Run(ctx, epoch) })
	m.duty.Go(func() { m.runPlans(ctx, epoch) })
}

func (m *moves) runPlans(ctx context.Context, epoch int64) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		if _, err := m.executor.Pass(ctx, epoch); err != nil {
			m.options.Log.WithError(err).WithField("step", "run plans").Debug("plans stand still")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// offer names the gate to the callers' side.
func (m *moves) offer(options *gateway.Options) {
	if m != nil && m.gate != nil {
		options.Gate = callersGate{m.gate}
	}
}

func (m *moves) start() {
	if m == nil || m.gate == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.running.Go(func() { m.agent.Run(ctx) })
	m.startDuty(ctx)
}

// leave is a planned stop's last word: this node serves no more, so that no
// later move waits for it. A failure leaves it to the operator to say so.
func (m *moves) leave(ctx context.Context) {
	if m == nil || m.store == nil {
		return
	}
	if err := m.store.Deregister(ctx, m.options.Name); err != nil {
		m.options.Log.WithError(err).WithField("step", "deregister").Warn("moves will wait for this node")
	}
}

// close hands the duty on and returns when that is done.
func (m *moves) close() {
	if m == nil || m.stop == nil {
		return
	}
	m.endDuty()
	m.running.Wait()
	m.stop = nil
}
