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

// DutyPlatform takes the calls that one node makes for all.
type DutyPlatform interface {
	usage.Platform
	autoscale.Platform
}

// duties is a node's part in what one node at a time does for the whole fleet.
type duties struct {
	node *Node
	// time is the fleet's time of day.
	time   *fleettime.Clock
	meter  *usage.Meter
	counts *usage.Service
	holder *duty.Holder
	// random is drawn from by the holder's goroutine alone.
	random *rand.Rand
}

const (
	// dutiesKey is the store's key that names the holder.
	dutiesKey = "trestle/duties/holder"
	// firstContenders is the number of nodes that try for free duties at once: two, for
	// one may not reach the store.
	firstContenders = 2
	// gatherSlack is how long after a window's end its counts are asked for at least.
	gatherSlack = 2 * time.Second
)

// newDuties returns the node's part, or nil where the deployment has no duties.
func newDuties(n *Node) *duties {
	s := n.options.Settings.PassThrough.Duties
	if s == nil || n.options.Duties == nil {
		return nil
	}
	d := &duties{
		node:   n,
		time:   fleettime.New(n.options.Clock, time.Now),
		random: rand.New(rand.NewPCG(n.options.Seed, 6)),
	}
	d.meter = usage.NewMeter(s.UsageWindow.Std(), d.time.Now)
	d.counts = usage.NewService(d.process(), d.meter)
	return d
}

// process names this run of the process.
func (d *duties) process() string {
	return fmt.Sprintf("%s/%x", d.node.options.Settings.Name, d.node.options.Seed)
}

// began counts a request that began to run; nil where nothing is counted.
func (d *duties) began() func(workspace string) {
	if d == nil || !d.node.options.Settings.PassThrough.Duties.Has(settings.Metering) {
		return nil
	}
	return d.meter.Began
}

// clock is the fleet's time of day, where there is one.
func (d *duties) clock() *fleettime.Clock {
	if d == nil {
		return nil
	}
	return d.time
}

// fence is the token of the duties that this node holds.
func (d *duties) fence() int64 {
	if d == nil || d.holder == nil {
		return 0
	}
	return d.holder.Fence()
}

// link puts together what the node does as the holder, and mounts what others ask it.
func (d *duties) link() error {
	if d == nil {
		return nil
	}
	n, s := d.node, d.node.options.Settings.PassThrough.Duties
	n.peers.Mount(d.counts.Handler())
	var works []duty.Task
	if s.Has(settings.Metering) {
		works = append(works, usage.NewReporter(usage.ReporterOptions{
			Store: n.options.Store, Platform: n.options.Duties,
			Gather: usage.NewGatherer(d.counts, n.clients, d.countingNodes).Gather,
			Length: s.UsageWindow.Std(), Delay: s.UsageDelay.Std(),
			Now: d.time.Now, Clock: n.options.Clock, Log: n.log, Metrics: usage.NewMetrics(n.registry),
		}))
	}
	if s.Has(settings.Autoscale) {
		works = append(works, autoscale.New(autoscale.Options{
			Store: n.options.Store, Platform: n.options.Duties, Observe: d.observe,
			FirstStart: n.options.Settings.PassThrough.FirstStart,
			Clock:      n.options.Clock, Log: n.log, Metrics: autoscale.NewMetrics(n.registry),
		}))
	}
	holder, err := duty.NewHolder(duty.Options{
		Store: n.options.Store, Key: dutiesKey, Node: n.options.Settings.Name, Process: d.process(),
		TTL: s.Lease.Std(), Contends: d.contends, Tasks: works,
		Clock: n.options.Clock, Rand: rand.New(rand.NewPCG(n.options.Seed, 7)), Log: n.log, Registry: n.registry,
	})
	d.holder = holder
	return err
}

// run tries for the duties until ctx ends.
func (d *duties) run(ctx context.Context) {
	if d != nil {
		d.holder.Run(ctx)
	}
}

// contends says whether this node tries for the duties if they are free: the first of
// those that read the store for others, and now and then one of the others, since the
// first ones may be cut off from the store. While a holder is heard of nobody asks.
func (d *duties) contends() bool {
	n := d.node
	now := n.options.Clock()
	if n.leaving.Load() || n.routes.Get().Table == nil || n.nodes.HasDutyHolder(now) {
		return false
	}
	switch n.sync.Role() {
	case nodesync.Peer, nodesync.PrimaryHub:
		if n.sync.StoreReaderIndex() < firstContenders {
			return true
		}
	}
	return d.random.IntN(1+n.nodes.AliveCount(now)) == 0
}

// countingNodes are the peer addresses of the nodes that may have counted in a window that
// is open or has just ended. One that fell silent may be cut off only and serve callers
// until its proof of their keys is too old; a report that waited for one that is gone for
// longer would be late for nothing.
func (d *duties) countingNodes() []string {
	s := d.node.options.Settings.PassThrough
	counts := s.RevokeAfter.Std() + s.Duties.UsageWindow.Std() + gatherSlack
	var addresses []string
	for _, node := range d.node.nodes.SeenWithin(counts, d.node.options.Clock()) {
		addresses = append(addresses, node.PeerAddress)
	}
	return addresses
}

// observe tells of the upstreams whose replicas may be ordered.
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
		o.Zones = append(o.Zones, autoscale.CountZone(name, ofZone(replicas, name)))
	}
	return o
}

func ofZone(replicas []replica.Replica, zone string) []replica.Replica {
	var list []replica.Replica
	for _, r := range replicas {
		if r.AvailabilityZone == zone {
			list = append(list, r)
		}
	}
	return list
}
