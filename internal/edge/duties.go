package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"galenatrestle/internal/autoscale"
	"galenatrestle/internal/boottime"
	"galenatrestle/internal/duty"
	"galenatrestle/internal/fleettime"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/route"
	"galenatrestle/internal/settings"
	"galenatrestle/internal/usage"
)

// DutyPlatform receives the platform calls that one node makes on behalf of the fleet.
type DutyPlatform interface {
	usage.Platform
	autoscale.Platform
}

// duties is a node's part in the work that one elected node does for the whole fleet.
type duties struct {
	node *Node
	// fleetClock is the fleet-wide wall clock.
	fleetClock   *fleettime.Clock
	meter        *usage.Meter
	usageService *usage.Service
	holder       *duty.Holder
	// random is used only by the holder's goroutine.
	random *rand.Rand
}

const (
	// dutiesKey is the store key that identifies the current holder.
	dutiesKey = "trestle/duties/holder"
	// preferredContenders is the number of nodes that always contend for free duties: two,
	// in case one cannot reach the store.
	preferredContenders = 2
	// gatherMargin is the least time for which a node is still queried for its counts after
	// a window ends.
	gatherMargin = 2 * time.Second
)

// newDuties returns nil if the deployment has no duties.
func newDuties(n *Node) *duties {
	s := n.options.Settings.PassThrough.Duties
	if s == nil || n.options.Duties == nil {
		return nil
	}
	d := &duties{
		node:       n,
		fleetClock: fleettime.New(n.options.Clock, time.Now),
		random:     rand.New(rand.NewPCG(n.options.Seed, 6)),
	}
	d.meter = usage.NewMeter(s.UsageWindow.Std(), d.fleetClock.Now)
	d.usageService = usage.NewService(d.processID(), d.meter)
	return d
}

// processID identifies this run of the process.
func (d *duties) processID() string {
	return fmt.Sprintf("%s/%x", d.node.options.Settings.Name, d.node.options.Seed)
}

// requestCounter returns the function that counts a started request, or nil if metering is
// off.
func (d *duties) requestCounter() func(workspace string) {
	if d == nil || !d.node.options.Settings.PassThrough.Duties.Has(settings.Metering) {
		return nil
	}
	return d.meter.Began
}

// clock returns the fleet-wide wall clock, or nil without duties.
func (d *duties) clock() *fleettime.Clock {
	if d == nil {
		return nil
	}
	return d.fleetClock
}

// fence returns the fencing token of the duties, or 0 if this node does not hold them.
func (d *duties) fence() int64 {
	if d == nil || d.holder == nil {
		return 0
	}
	return d.holder.Fence()
}

// setUp creates the holder with its tasks and mounts the handler for other nodes' queries.
func (d *duties) setUp() error {
	if d == nil {
		return nil
	}
	n, s := d.node, d.node.options.Settings.PassThrough.Duties
	n.peers.Mount(d.usageService.Handler())
	var tasks []duty.Task
	if s.Has(settings.Metering) {
		gatherer := usage.NewGatherer(d.usageService, n.clients, d.meteringPeers)
		tasks = append(tasks, usage.NewReporter(usage.ReporterOptions{
			Store: n.options.Store, Platform: n.options.Duties,
			Gather: gatherer.Gather, KeepFinalSums: gatherer.KeepFinalSums,
			Length: s.UsageWindow.Std(), Delay: s.UsageDelay.Std(),
			Now: d.fleetClock.Now, Clock: n.options.Clock, Log: n.log, Metrics: usage.NewMetrics(n.registry),
		}))
	}
	if s.Has(settings.Autoscale) {
		tasks = append(tasks, autoscale.New(autoscale.Options{
			Store: n.options.Store, Platform: n.options.Duties, Observe: d.observe,
			FirstStart: n.options.Settings.PassThrough.FirstStart,
			Clock:      n.options.Clock, Log: n.log, Metrics: autoscale.NewMetrics(n.registry),
		}))
	}
	holder, err := duty.NewHolder(duty.Options{
		Store: n.options.Store, Key: dutiesKey, Node: n.options.Settings.Name, Process: d.processID(),
		TTL: s.Lease.Std(), Contends: d.shouldContend, Tasks: tasks,
		Clock: n.options.Clock, Rand: rand.New(rand.NewPCG(n.options.Seed, 7)), Log: n.log, Registry: n.registry,
	})
	d.holder = holder
	return err
}

// run contends for the duties and performs them until ctx ends.
func (d *duties) run(ctx context.Context) {
	if d != nil {
		d.holder.Run(ctx)
	}
}

// shouldContend reports whether this node tries to acquire free duties. The first nodes in
// the order of store readers always do, others at random, since the first ones may be
// cut off from the store. No node does while a holder is known.
func (d *duties) shouldContend() bool {
	n := d.node
	now := n.options.Clock()
	if n.leaving.Load() || n.routes.Get().Table == nil || n.nodes.HasDutyHolder(now) {
		return false
	}
	switch n.sync.Role() {
	case nodesync.Peer, nodesync.PrimaryHub:
		if n.sync.StoreReaderIndex() < preferredContenders {
			return true
		}
	}
	return d.random.IntN(1+n.nodes.AliveCount(now)) == 0
}

// meteringPeers returns the peer addresses of the nodes that may have counted requests in
// a window that is open or has just ended. A node that fell silent may only be
// partitioned and serve until its proof of the keys expires; waiting longer for it would
// delay the report needlessly.
func (d *duties) meteringPeers() []string {
	s := d.node.options.Settings.PassThrough
	maxSilence := s.RevokeAfter.Std() + s.Duties.UsageWindow.Std() + gatherMargin
	var addresses []string
	for _, node := range d.node.nodes.SeenWithin(maxSilence, d.node.options.Clock()) {
		addresses = append(addresses, node.PeerAddress)
	}
	return addresses
}

// observe returns the state of the upstreams that have scaling configured.
func (d *duties) observe() []autoscale.Observation {
	n := d.node
	snapshot := n.routes.Get()
	if snapshot.Table == nil || !n.replicas.HasListing() {
		return nil
	}
	_, readAt := n.replicas.Latest()
	now := n.options.Clock()
	var list []autoscale.Observation
	for _, u := range snapshot.Table.Scaled() {
		list = append(list, d.observation(u, now, readAt))
	}
	return list
}

func (d *duties) observation(u *route.Upstream, now, readAt boottime.Instant) autoscale.Observation {
	o := autoscale.Observation{
		Upstream: u.Name, Scaling: *u.Scaling, Age: now.Sub(readAt), Busy: d.node.placer.Running(u.Name),
	}
	if u.Engine != nil {
		o.Slots = u.Engine.Slots
	}
	replicas := d.node.replicas.ForUpstream(u.Name)
	for _, name := range u.Scaling.Zones() {
		o.Zones = append(o.Zones, autoscale.CountZone(name, inZone(replicas, name)))
	}
	return o
}

func inZone(replicas []replica.Replica, zone string) []replica.Replica {
	var list []replica.Replica
	for _, r := range replicas {
		if r.AvailabilityZone == zone {
			list = append(list, r)
		}
	}
	return list
}
