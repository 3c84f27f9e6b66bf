package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/fairshare"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/passthrough"
	"galenatrestle/internal/pause"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/replicapath"
	"galenatrestle/internal/replicapath/replicapathrpc"
	"galenatrestle/internal/retrybudget"
	"galenatrestle/internal/returns"
	"galenatrestle/internal/routesource"
	"galenatrestle/internal/settings"
	"galenatrestle/internal/streamorigin"
	"galenatrestle/internal/streamorigin/streamoriginrpc"
)

// Node is the process on one edge VM.
type Node struct {
	options     Options
	log         *eventlog.Log
	registry    *prometheus.Registry
	routes      *routesource.Current
	replicas    *replica.Set
	path        *replicapath.Dialer
	relays      *replicapathrpc.Server
	conns       *replicaconn.Pool
	placer      *placement.Placer
	rateLimiter *rateLimiter
	pauses      pause.Table
	zoneWarner  zoneWarner
	returns     *returns.Controller
	budget      *retrybudget.Budget
	nodes       *nodesync.Nodes
	sync        *nodesync.Sync
	sharing     *limitSharing
	fairShare   *fairshare.Sharing
	handler     *passthrough.Handler
	crashCauses *crashcause.Tracker
	quarantines *quarantineKeeper
	streams     *streamorigin.Tracker
	reader      *reader
	announcer   *announcer
	clients     *peer.Clients
	peers       *peer.Server
	duties      *duties
	servers     []*server
	// callers serves the callers' requests.
	callers *callerServer
	// entryAddress and peerAddress are the advertised addresses.
	entryAddress string
	peerAddress  string
	leaving      atomic.Bool
	tasks        sync.WaitGroup
	// settings are the current ones; options.Settings are those at the start.
	settings atomic.Pointer[settings.Settings]
}

// server is one listener with its serve function.
type server struct {
	field    string
	listener net.Listener
	serve    func(net.Listener) error
}

// New creates the node and opens its listeners; Run serves.
func New(options Options) (*Node, error) {
	s := options.Settings
	random := rand.New(rand.NewPCG(options.Seed, 1))
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n := &Node{
		options:  options,
		log:      eventlog.New(options.Output, s.Name),
		registry: registry,
		routes:   routesource.New(options.Decode),
		replicas: newReplicaSet(options),
		nodes:    nodesync.NewNodes(s.Name, s.Peers.Seeds),
	}
	n.settings.Store(s)
	if err := n.newPeers(); err != nil {
		return nil, err
	}
	n.path = n.newReplicaPath()
	n.conns = replicaconn.NewPool(n.dialTimed, n.countConnection())
	n.conns.SetIsLeaving(n.nodes.IsLeaving)
	n.rateLimiter = newRateLimiter(n)
	n.placer = placement.NewPlacer(s.AvailabilityZone, n.replicas, random)
	n.placer.SetPermits(n.rateLimiter.permits)
	n.placer.SetPauses(&n.pauses)
	n.setUpReplicaSpeeds()
	n.setUpZoneTraffic()
	admitServices(n.placer, s.PassThrough.ServiceAdmission)
	if o := s.PassThrough.ObjectivePlacement; o != nil {
		n.placer.SetObjectivePlacement(o.MissCost.Std())
		n.placer.RegisterObjectiveMetrics(registry)
	}
	pause.RegisterMetrics(registry, &n.pauses)
	n.duties = newDuties(n)
	tracker := quarantine.NewTracker(s.Name, quarantine.DefaultMaxRecords)
	n.crashCauses = crashcause.NewTracker(0, n.makesTrial, n.onCauseChange)
	crashcause.RegisterMetrics(registry, n.crashCauses)
	n.fairShare = n.newFairShare()
	registry.MustRegister(n.fairShare)
	n.returns = newReturns(options)
	n.sync = n.newSync(tracker)
	n.sharing = &limitSharing{fleet: n.sync, clock: options.Clock}
	n.budget = retrybudget.New(n.retryLimits(), time.Now())
	n.quarantines = newQuarantineKeeper(n, tracker)
	n.streams = n.newStreamOrigins()
	n.handler = n.newHandler(tracker)
	isSeed := slices.Contains(s.Peers.Seeds, s.Advertise.Peer) || slices.Contains(s.Peers.Seeds, s.PeerListen)
	n.reader = &reader{
		store:         options.Store,
		registrations: registrations{store: options.Store, clock: options.Clock, copy: n.replicas.Latest},
		eras:          &eraWatcher{store: options.Store, log: n.log},
		routes:        n.routes, replicas: n.replicas, onReplicaChanges: n.onReplicaChanges,
		keepsWholeListing: n.sync.KeepsWholeListing,
		role:              n.roleAtStore, fleetSize: n.sync.FleetSize, readerIndex: n.sync.StoreReaderIndex,
		beginFirstRead: n.sync.BeginFirstRead, sinceOthersFirstRead: n.sync.SinceOthersFirstRead, clock: options.Clock, log: n.log,
		firstReadAt: n.firstReadAt(isSeed, random),
		applyWithin: func() time.Duration { return n.settings.Load().PassThrough.ApplyWithin.Std() },
		leaveWithin: func() time.Duration { return n.settings.Load().PassThrough.LeaveWithin.Std() },
		metrics:     newMetrics(registry, n.routes, n.replicas, options.Clock, n.log),
	}
	n.announcer = &announcer{
		store: options.Store, self: n.self, role: n.roleAtStore, isSeed: isSeed,
		nodes: n.nodes, fleetSize: n.sync.FleetSize, clock: options.Clock, log: n.log, metrics: n.reader.metrics,
		rand: rand.New(rand.NewPCG(options.Seed, 2)),
	}
	n.registerFleetMetrics()
	if err := n.setUpPeers(); err != nil {
		return nil, err
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	return n, nil
}

// newReplicaSet returns the set of replicas. A node that may hold the fleet's duties counts the
// replicas of each availability zone and therefore uses all of them.
func newReplicaSet(options Options) *replica.Set {
	if options.Duties != nil {
		return replica.NewSet()
	}
	return replica.NewZoneSet(options.Settings.AvailabilityZone)
}

const (
	// boundPerIdleRound is the propagation bound that each tick between an idle node's
	// rounds needs. It is longer than a tick, to allow for the age of the hubs' copies: they are
	// up to 1.3 s old with a bound of 4 s, and those of an idle node 0.9 s older.
	boundPerIdleRound = time.Second
	// maxIdleRoundInterval is the maximum number of ticks between an idle node's rounds. It
	// keeps other nodes from considering the node dead.
	maxIdleRoundInterval = 4
)

// idleRoundInterval returns the number of ticks between rounds while the node is idle.
func (n *Node) idleRoundInterval() int {
	p := n.settings.Load().PassThrough
	return min(int(min(p.ApplyWithin.Std(), p.LeaveWithin.Std())/boundPerIdleRound), maxIdleRoundInterval)
}

// makesTrial reports whether this node makes the trial of a cause of crashes: one node of the fleet does.
func (n *Node) makesTrial(f crashcause.Factor, trial int) bool {
	return n.sync.PermitIssuer(fmt.Sprintf("%s/%d", f, trial)).Name == n.options.Settings.Name
}

// onCauseChange logs a change of the causes of crashes, and keeps the causes that calls of this node met.
func (n *Node) onCauseChange(c crashcause.Change) {
	n.log.Write(&crashcause.CauseChanged{Change: c})
	if c.IsLocal && !c.Ended {
		n.quarantines.causeChanged(c.Cause.Factor)
	}
}

// newPeers creates the clients and the server for calls between nodes.
func (n *Node) newPeers() error {
	keys, err := peer.NewKeys(peer.KeyFiles{
		Certificate: n.options.Settings.TLS.CertificateFile,
		Key:         n.options.Settings.TLS.KeyFile,
		Authorities: n.options.Settings.TLS.AuthorityFile,
	}, n.registry)
	if err != nil {
		return err
	}
	n.clients = peer.NewClients(keys, peer.Settings{DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, MaxConnections: 1}, n.registry)
	n.peers = peer.NewServer(keys, n.registry)
	return nil
}

// setUpPeers mounts the handlers of calls between nodes and gives the callers their clients.
func (n *Node) setUpPeers() error {
	n.sync.SetClients(n.clients)
	n.peers.Mount(n.sync.Handler())
	n.peers.Mount(streamoriginrpc.NewHandler(n.streams, n.options.Clock))
	n.rateLimiter.setUp()
	n.setUpReplicaPath()
	return n.duties.setUp()
}

const (
	// peerDialTimeout bounds connecting to another node.
	peerDialTimeout = 300 * time.Millisecond
	// peerIdleTimeout is longer than the pauses between calls to the same node, and short enough
	// not to keep connections to nodes that are called once.
	peerIdleTimeout = 8 * time.Second
)

// self returns the node's state as sent to other nodes.
func (n *Node) self() nodesync.Node {
	s := n.options.Settings
	return nodesync.Node{
		Name: s.Name, AvailabilityZone: s.AvailabilityZone,
		EntryAddress: n.entryAddress, PeerAddress: n.peerAddress,
		Ready: n.Ready(), Leaving: n.leaving.Load(),
		ProcessorShare: s.PassThrough.ProcessorShare, DutyFence: n.duties.fence(),
	}
}

// maxLoggedChanges is the number of changes of one listing that are logged one by one. Further
// ones, as after a start, are only counted.
const maxLoggedChanges = 64

// onReplicaChanges logs the changes and drops the state and connections of removed
// replicas.
func (n *Node) onReplicaChanges(changes []replica.Change) {
	if len(changes) == 0 {
		return
	}
	listing, readAt := n.replicas.Latest()
	age := n.options.Clock().Sub(readAt)
	n.zoneWarner.warn(n, &listing)
	if len(changes) > maxLoggedChanges {
		n.log.Write(newListingReplaced(listing, changes, age))
	}
	n.rateLimiter.onReplicaChanges(changes, n.options.Clock())
	n.streams.OnReplicaChanges(changes)
	for i, c := range changes {
		if i < maxLoggedChanges {
			n.log.Write(&replicaChanged{change: c, revision: listing.Revision, age: age})
		}
		if c.Kind == replica.Removed {
			n.conns.Forget(c.Replica.ID)
		}
	}
}

func (n *Node) countConnection() func(string) {
	opened := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "trestle_replica_connections_total", Help: "Connections opened to replicas.",
	})
	n.registry.MustRegister(opened)
	return func(string) { opened.Inc() }
}

// Run serves until ctx ends, then stops gracefully within the grace time. It returns an
// error if a listener fails.
func (n *Node) Run(ctx context.Context) error {
	stopLogger := make(chan struct{})
	var logger sync.WaitGroup
	logger.Go(func() { n.log.Run(stopLogger) })
	defer logger.Wait()
	defer close(stopLogger)
	background, cancel := context.WithCancel(context.Background())
	defer n.tasks.Wait()
	defer cancel()
	n.log.Write(&lifecycle{name: "start", fields: eventlog.Fields{"entry": n.options.Settings.Listen}})
	n.start(background)
	// The duties are released at the start of a planned stop, not at its end.
	dutiesCtx, endDuties := context.WithCancel(background)
	defer endDuties()
	n.tasks.Go(func() { n.duties.run(dutiesCtx) })
	serveErrors := make(chan error, len(n.servers))
	for _, s := range n.servers {
		go func() { serveErrors <- s.run() }()
	}
	select {
	case <-ctx.Done():
	case err := <-serveErrors:
		n.log.Error("serve", err)
		return err
	}
	endDuties()
	n.stop()
	return nil
}

// start starts the background tasks.
func (n *Node) start(ctx context.Context) {
	seed := n.options.Seed
	n.tasks.Go(func() {
		n.reader.poll(ctx, n.reader.configurationRecord(), rand.New(rand.NewPCG(seed, 4)))
	})
	n.tasks.Go(func() {
		n.reader.poll(ctx, n.reader.registrationsRecord(), rand.New(rand.NewPCG(seed, 5)))
	})
	n.tasks.Go(func() { n.announcer.run(ctx) })
	n.tasks.Go(func() { n.quarantines.run(ctx) })
	n.tasks.Go(func() { n.streams.Run(ctx) })
	n.tasks.Go(func() { n.sync.Run(ctx) })
	n.tasks.Go(func() { n.path.Run(ctx) })
	n.tasks.Go(func() { n.maintain(ctx) })
	n.tasks.Go(func() { n.rateLimiter.confirmSlots(ctx) })
}

const maintenanceInterval = time.Second

// maintain closes expired connections, updates the retry budget's node count and forgets the rates
// of replicas that are gone.
func (n *Node) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.conns.CloseExpired(now)
			n.budget.SetNodes(n.sharing.nodeCount())
			n.rateLimiter.forgetRemoved(n.options.Clock())
		}
	}
}

func (s *server) run() error {
	err := s.serve(s.listener)
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("%s %s: %w", s.field, s.listener.Addr(), err)
}
