package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"galenatrestle/internal/config"
	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/dispatch"
	"galenatrestle/internal/leaving"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/openai"
	"galenatrestle/internal/router"
	"galenatrestle/internal/upstream"
)

// How often the node looks at what brings no news by itself.
const (
	statusInterval = time.Second
	// instancesInterval keeps the promise that a leaving upstream gets nothing
	// new after 3 s, with a second to spare.
	instancesInterval = 2 * time.Second
	instancesTimeout  = 2 * time.Second
	// instancesReaders is how many nodes of a region read the list, so that
	// one of them may be gone or cut off.
	instancesReaders = 3
	instancesDuty    = "duty/instances"
)

// members is the node's picture of the other nodes and of what is leaving.
// Without a peer listener the node knows itself alone.
type members struct {
	options  Options
	runner   *membership.Runner
	tracker  *leaving.Tracker
	dispatch *dispatch.Dispatcher
	// changed wakes the loop that tells the dispatcher what is leaving.
	changed chan struct{}
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	replicas replicaIndex
	// told holds what the dispatcher was last told.
	told map[replicaKey]bool
}

// newMembers creates the part and mounts its handler on the peer listener.
func newMembers(options Options, link *peers, dispatcher *dispatch.Dispatcher) *members {
	self := membership.Member{
		Name:             options.Name,
		EntryAddress:     options.EntryAddress,
		PeerAddress:      options.PeerAddress,
		AvailabilityZone: options.AvailabilityZone,
		Region:           options.Region,
		Incarnation:      time.Now().UnixMilli(),
		State:            membership.StateServing,
	}
	rng := rand.New(rand.NewPCG(options.Seed, memberStream))
	runner := membership.NewRunner(self, membership.Settings{}, membership.NewCaller(link.clients), rng)
	m := &members{
		options:  options,
		runner:   runner,
		tracker:  leaving.NewTracker(runner, options.Registry),
		dispatch: dispatcher,
		changed:  make(chan struct{}, 1),
		told:     make(map[replicaKey]bool),
	}
	m.tracker.OnChange(m.wake)
	runner.OnNote(leaving.NoteKind, m.tracker.Receive)
	runner.Register(options.Registry)
	for _, seed := range options.Seeds {
		runner.AddSeed(seed)
	}
	link.server.Mount(runner.Handler())
	return m
}

// Members returns the node's picture of the members of its region.
func (n *Node) Members() membership.View { return n.members.runner }

// memberStream sets the random source of membership apart from the others.
const memberStream = 0x6d656d62

// start begins to speak to the other nodes.
func (m *members) start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	if m.options.Peer != nil {
		m.running.Go(func() { _ = m.runner.Run(ctx) })
	}
	m.running.Go(func() { m.watch(ctx) })
	m.running.Go(func() { m.watchLoads(ctx) })
	if m.options.Instances != nil {
		m.running.Go(func() { m.watchInstances(ctx) })
	}
}

func (m *members) close() {
	if m.cancel == nil {
		return
	}
	m.cancel()
	m.running.Wait()
}

// configure takes in the replicas of a configuration and the operator's word
// on which of them are leaving.
func (m *members) configure(index *config.Index) {
	replicas := indexReplicas(index.Document())
	m.mu.Lock()
	m.replicas = replicas
	m.told = make(map[replicaKey]bool)
	m.mu.Unlock()
	for key, replica := range replicas.byKey {
		m.tracker.RecordOperator(key.replica, replica.Leaving, index.Revision())
	}
	m.runner.SetStatus(m.runner.Self().Load, index.Revision())
	m.wake()
}

// refused takes in what an engine's refusal says about the engine.
func (m *members) refused(refusal upstream.EngineRefusal) {
	m.mu.Lock()
	replicas := m.replicas
	m.mu.Unlock()
	name, ok := replicas.names[refusal.Address]
	if !ok {
		return
	}
	if refusal.Code == openai.CodeLeaving {
		m.tracker.RecordEngineLeaving(name)
	}
	if refusal.Pause > 0 {
		m.pauseReplica(replicas, name, refusal.Pause)
	}
}

// pauseReplica keeps requests from the replica in all upstreams that it belongs to.
func (m *members) pauseReplica(replicas replicaIndex, name string, length time.Duration) {
	m.options.Log.WithFields(logrus.Fields{"replica": name, "pause": length.String()}).Info("replica asked for a pause")
	for key := range replicas.byKey {
		if key.replica == name {
			m.dispatch.Pause(key.upstream, name, length)
		}
	}
}

func (m *members) wake() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// watch keeps the dispatcher and the node's own status up to date.
func (m *members) watch(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.changed:
		case <-ticker.C:
			m.runner.SetStatus(loadOf(m.dispatch.Stats()), m.runner.Self().ConfigRevision)
		}
		m.tellLeaving()
	}
}

// tellLeaving tells the dispatcher which replicas began or ceased to leave.
func (m *members) tellLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.replicas.byKey {
		leaves := m.tracker.Leaving(key.replica)
		if told, ok := m.told[key]; ok && leaves == told {
			continue
		}
		m.told[key] = leaves
		m.dispatch.SetLeaving(key.upstream, key.replica, leaves)
	}
}

// watchInstances reads the platform's list until ctx ends, first of all and
// then while this node is one of the readers. An outage leaves everything as
// it is.
func (m *members) watchInstances(ctx context.Context) {
	m.readInstances(ctx)
	for {
		if m.readsInstances() {
			m.readInstances(ctx)
		}
		if ctxtime.Sleep(ctx, instancesInterval) != nil {
			return
		}
	}
}

// readsInstances says whether this node is one of the few of its region that
// read the whole list: it grows with the fleet, and what is leaving spreads
// between the nodes anyway. A node that knows no other reads for itself.
func (m *members) readsInstances() bool {
	self := m.runner.Self().Name
	return slices.ContainsFunc(m.runner.Owners(instancesDuty, instancesReaders), func(reader membership.Member) bool {
		return reader.Name == self
	})
}

// ReadsInstances says whether the node reads the platform's list of VMs at
// present.
func (n *Node) ReadsInstances() bool { return n.members.readsInstances() }

func (m *members) readInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, instancesTimeout)
	defer cancel()
	list, err := m.options.Instances.Instances(ctx)
	if err != nil {
		m.options.Log.WithError(err).WithField("step", "read instances").Debug("the platform's list is not to be had")
		return
	}
	m.mu.Lock()
	entries, upstreams := m.replicas.split(list)
	m.mu.Unlock()
	m.tracker.RecordInstances(upstreams)
	m.runner.ApplyInstances(entries)
}

// Stats returns the state of each upstream's queue and replicas at this node.
func (n *Node) Stats() map[string]router.Stats { return n.dispatch.Stats() }
