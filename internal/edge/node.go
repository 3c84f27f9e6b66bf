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

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/passthrough"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/retrybudget"
	"galenatrestle/internal/routesource"
	"galenatrestle/internal/settings"
)

// Node is one edge VM's process.
type Node struct {
	options   Options
	log       *eventlog.Log
	registry  *prometheus.Registry
	routes    *routesource.Current
	replicas  *replica.Set
	conns     *replicaconn.Pool
	placer    *placement.Placer
	rates     *rates
	budget    *retrybudget.Budget
	nodes     *nodesync.Nodes
	sync      *nodesync.Sync
	handler   *passthrough.Handler
	reader    *reader
	announcer *announcer
	clients   *peer.Clients
	peers     *peer.Server
	duties    *duties
	servers   []*server
	// entryAddress and peerAddress are what others are told.
	entryAddress string
	peerAddress  string
	leaving      atomic.Bool
	tasks        sync.WaitGroup
	// settings are those in force; options.Settings are those of the start.
	settings atomic.Pointer[settings.Settings]
}

// server is one HTTP listener.
type server struct {
	field    string
	listener net.Listener
	serve    func(net.Listener) error
}

// New opens the listeners and puts the node together; Run serves.
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
		replicas: replica.NewSet(),
		nodes:    nodesync.NewNodes(s.Name, s.Peers.Seeds),
	}
	n.settings.Store(s)
	n.conns = replicaconn.NewPool(replicaconn.TCPDial(replicaconn.DefaultDialTimeout), n.countConnection())
	n.rates = newRates(n)
	n.placer = placement.NewPlacer(s.AvailabilityZone, n.replicas, random)
	n.placer.SetPermits(n.rates.permits)
	n.budget = retrybudget.New(n.retryLimits())
	n.duties = newDuties(n)
	tracker := quarantine.NewTracker(quarantine.DefaultMaxRecords)
	n.sync = n.newSync(tracker)
	n.handler = n.newHandler(tracker)
	isSeed := slices.Contains(s.Peers.Seeds, s.Advertise.Peer) || slices.Contains(s.Peers.Seeds, s.PeerListen)
	n.reader = &reader{
		store: options.Store, routes: n.routes, replicas: n.replicas, listed: n.listed,
		role: n.sync.Role, turn: n.sync.StoreReaderIndex, clock: options.Clock, log: n.log,
		firstReadAt: n.firstReadAt(isSeed),
		applyWithin: func() time.Duration { return n.settings.Load().PassThrough.ApplyWithin.Std() },
		leaveWithin: func() time.Duration { return n.settings.Load().PassThrough.LeaveWithin.Std() },
		metrics:     newMetrics(registry, n.routes, n.replicas, options.Clock, n.log),
	}
	n.announcer = &announcer{
		store: options.Store, self: n.self, role: n.sync.Role, isSeed: isSeed,
		nodes: n.nodes, clock: options.Clock, log: n.log, metrics: n.reader.metrics,
		rand: rand.New(rand.NewPCG(options.Seed, 2)),
	}
	if err := n.linkPeers(); err != nil {
		return nil, err
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	return n, nil
}

// firstReadWait is how long at a fleet's first start the nodes leave it to the seeds to
// read the store. Nobody is served yet, and the first configuration may not be there:
// each of 295 nodes made eight calls of the store before the first caller came.
const firstReadWait = 3 * time.Second

// firstReadAt is when the node may read the store though it knows nothing.
func (n *Node) firstReadAt(isSeed bool) boottime.Instant {
	if !n.options.Settings.PassThrough.FirstStart || isSeed {
		return 0
	}
	return n.options.Clock().Add(firstReadWait)
}

// newSync returns the exchange with the other nodes, which carries the tracker's
// records.
func (n *Node) newSync(tracker *quarantine.Tracker) *nodesync.Sync {
	return nodesync.New(nodesync.Options{
		Self: n.self, Nodes: n.nodes, Routes: n.routes, Replicas: n.replicas, OnReplicaChanges: n.listed,
		Placer: n.placer, Tracker: tracker, RateLimitTable: n.rates.limits, IdleRoundInterval: n.idleTicks, SumsMaxAge: nodesync.DefaultSumsMaxAge, Clock: n.options.Clock,
		FleetTime: n.duties.clock(), Rand: rand.New(rand.NewPCG(n.options.Seed, 3)), Log: n.log,
	})
}

const (
	// changePerTick is the part of the time within which a change must be known that each
	// tick between two rounds of an idle node may take: copies at the hubs are up to
	// 1.3 s old where that time is 4 s, and the idle node's 0.9 s older.
	changePerTick = time.Second
	// mostIdleTicks keeps an idle node's last sign below the time for which it counts as
	// alive.
	mostIdleTicks = 4
)

// idleTicks is the number of rounds of which the node makes one while it serves nobody.
func (n *Node) idleTicks() int {
	p := n.settings.Load().PassThrough
	return min(int(min(p.ApplyWithin.Std(), p.LeaveWithin.Std())/changePerTick), mostIdleTicks)
}

// newHandler returns the callers' side.
func (n *Node) newHandler(tracker *quarantine.Tracker) *passthrough.Handler {
	probe := func(ctx context.Context, r replica.Replica) error { return n.conns.Probe(ctx, r.ID, r.Address) }
	forwarder := forward.New(forward.Options{
		Placer: n.placer, Replicas: n.replicas, Conns: n.conns, Codec: n.options.Codec,
		Budget: n.budget, CrashGuard: forward.NewCrashGuard(tracker, probe, n.log), RateLimits: n.rates.limits, Permits: n.rates.permits, Log: n.log, Registry: n.registry,
		OnRun: n.duties.began(),
	})
	return passthrough.New(passthrough.Options{
		Routes: n.routes, Forwarder: forwarder, Codec: n.options.Codec, Clock: n.options.Clock,
		Random: rand.Float64, Bounds: n.bounds,
		NodeCount: n.shareOf, Log: n.log, Registry: n.registry,
	})
}

// linkPeers sets up the link to the other nodes.
func (n *Node) linkPeers() error {
	keys, err := peer.NewKeys(peer.KeyFiles{
		Certificate: n.options.Settings.TLS.CertificateFile,
		Key:         n.options.Settings.TLS.KeyFile,
		Authorities: n.options.Settings.TLS.AuthorityFile,
	}, n.registry)
	if err != nil {
		return err
	}
	n.clients = peer.NewClients(keys, peer.Settings{DialTimeout: peerDialTimeout, MaxConnections: 1}, n.registry)
	n.sync.SetClients(n.clients)
	n.peers = peer.NewServer(keys, n.registry)
	n.peers.Mount(n.sync.Handler())
	n.rates.link()
	return n.duties.link()
}

// peerDialTimeout bounds connecting to another node, a few milliseconds away.
const peerDialTimeout = 300 * time.Millisecond

// self is what this node tells of itself.
func (n *Node) self() nodesync.Node {
	s := n.options.Settings
	return nodesync.Node{
		Name: s.Name, AvailabilityZone: s.AvailabilityZone,
		EntryAddress: n.entryAddress, PeerAddress: n.peerAddress,
		Ready: n.Ready(), Leaving: n.leaving.Load(),
		ProcessorShare: s.PassThrough.ProcessorShare, DutyFence: n.duties.fence(),
	}
}

const (
	// leastNodes is the number of nodes that share a bound as long as few are
	// known: a node that has just started knows nobody.
	leastNodes = 8
	// sparePart is what may be added to the known nodes before the others know.
	sparePart = 4
)

// shareOf is the number of nodes by which shared bounds are divided.
func (n *Node) shareOf() int {
	known := n.nodes.KnownCount(n.options.Clock())
	return max(known+known/sparePart, leastNodes)
}

// listed logs what changed among the replicas, and drops the connections to
// those that are gone.
func (n *Node) listed(changes []replica.Change) {
	if len(changes) == 0 {
		return
	}
	listing, readAt := n.replicas.Latest()
	age := n.options.Clock().Sub(readAt)
	for _, c := range changes {
		n.log.Write(&replicaChanged{change: c, revision: listing.Revision, age: age})
		if c.Kind == replica.Removed {
			n.conns.Forget(c.Replica.ID)
			n.rates.forget(c.Replica.ID)
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

// Run serves until ctx ends, then stops gracefully within the grace time.
func (n *Node) Run(ctx context.Context) error {
	logged := make(chan struct{})
	var logger sync.WaitGroup
	logger.Go(func() { n.log.Run(logged) })
	defer logger.Wait()
	defer close(logged)
	background, cancel := context.WithCancel(context.Background())
	defer n.tasks.Wait()
	defer cancel()
	n.log.Write(&lifecycle{name: "start", fields: eventlog.Fields{"entry": n.options.Settings.Listen}})
	n.start(background)
	// The duties are handed on at the start of a planned stop, not at its end.
	dutiesCtx, endDuties := context.WithCancel(background)
	defer endDuties()
	n.tasks.Go(func() { n.duties.run(dutiesCtx) })
	failed := make(chan error, len(n.servers))
	for _, s := range n.servers {
		go func() { failed <- s.run() }()
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		n.log.Error("serve", err)
		return err
	}
	endDuties()
	n.stop()
	return nil
}

// start begins what runs beside the listeners.
func (n *Node) start(ctx context.Context) {
	seed := n.options.Seed
	n.tasks.Go(func() {
		n.reader.follow(ctx, n.reader.configuration(), rand.New(rand.NewPCG(seed, 4)))
	})
	n.tasks.Go(func() {
		n.reader.follow(ctx, n.reader.registrations(), rand.New(rand.NewPCG(seed, 5)))
	})
	n.tasks.Go(func() { n.announcer.run(ctx) })
	n.tasks.Go(func() { n.sync.Run(ctx) })
	n.tasks.Go(func() { n.tidy(ctx) })
}

// tidyEvery is how often idle connections are looked through.
const tidyEvery = time.Second

// tidy closes stale connections and follows the number of nodes.
func (n *Node) tidy(ctx context.Context) {
	ticker := time.NewTicker(tidyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.conns.CloseExpired(now)
			n.budget.SetNodes(n.shareOf())
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
