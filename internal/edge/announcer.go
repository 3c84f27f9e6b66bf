package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/platform"
)

const (
	// announceTTL is how long the entry of a stopped node remains in the store. An entry is
	// only a candidate peer; the nodes check liveness themselves.
	announceTTL = 30 * time.Second
	// renewInterval leaves time for retries before the lease expires.
	renewInterval = 8 * time.Second
	// defaultListInterval is the interval between listings of the announced nodes. Nodes
	// also learn of each other through nodesync; the listing finds those not yet reached by
	// it. With this and renewInterval at 3 s, a fleet of 88 nodes spent a fifth of its calls to
	// the store on them.
	defaultListInterval = 8 * time.Second
	// memberListInterval is longer, since members and secondary hubs learn of new nodes from
	// hubs.
	memberListInterval = time.Minute
	// memberListSpread is the least interval between the listings of all members together.
	memberListSpread = 600 * time.Millisecond
	// aloneListInterval applies while no other node is known, smallFleetListInterval while
	// fewer than smallFleetSize are, as on a node that is cut off from a large fleet.
	aloneListInterval      = 500 * time.Millisecond
	smallFleetListInterval = 3 * time.Second
	smallFleetSize         = 4
	// settlePeriod is how long a node that is no seed must not be a member before it announces
	// itself. A node that has reached no other one since its start is none, and neither is one
	// that is a hub until it knows the others. When each of 295 nodes announced itself and listed
	// all others, a start took 8 calls to the store per node.
	settlePeriod = 2 * time.Second
	// announcerTick is the interval at which the announcer checks what is due.
	announcerTick = 500 * time.Millisecond
)

// announcer registers the node in the platform's store, if others need it to join the
// fleet, and discovers other nodes there.
type announcer struct {
	store Store
	self  func() nodesync.Node
	// role is the node's role in the exchange between nodes; isSeed is set if the node is
	// in the seed list of the settings.
	role   func() nodesync.Role
	isSeed bool
	nodes  *nodesync.Nodes
	// fleetSize returns the number of nodes.
	fleetSize func() int
	clock     boottime.Clock
	log       *eventlog.Log
	metrics   *metrics
	rand      *rand.Rand
	// lease is zero if the node has none. announcedEra is the store's era at the last tick.
	lease        int64
	announcedEra int64
	// neededSince is since when starting nodes may need this one to join, renewAt when to renew or
	// grant the lease, listAt when to list the announced nodes.
	neededSince, renewAt, listAt boottime.Instant
	// listed is set once the announced nodes were listed, or need not be.
	listed bool
	// outages logs store outages. A node that gets all its copies from other nodes detects
	// one by the failed listing.
	outages outageLogger
}

// run renews the lease and lists nodes until ctx ends.
func (a *announcer) run(ctx context.Context) {
	now := a.clock()
	a.neededSince = now
	if !a.isSeed {
		// Gives the seeds time to answer first.
		a.listAt = now.Add(aloneListInterval)
	}
	a.outages = outageLogger{recordName: "nodes", log: a.log}
	for {
		a.tick(ctx)
		if ctxtime.Sleep(ctx, announcerTick) != nil {
			return
		}
	}
}

// tick makes the calls that are due.
func (a *announcer) tick(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if era := a.store.Era(); era != a.announcedEra {
		// The store may have lost the entry and its lease.
		a.announcedEra, a.renewAt = era, 0
	}
	if a.role() == nodesync.Member {
		a.neededSince = a.clock()
	}
	if now := a.clock(); now >= a.renewAt && a.shouldAnnounce(now) {
		a.renewAt = now.Add(renewInterval)
		err := a.announce(limited)
		a.metrics.countRead("announcement", err)
		if err != nil && ctx.Err() == nil {
			a.log.Error("announce node", err)
			a.renewAt = now.Add(a.nextListInterval())
		}
	}
	if now := a.clock(); now >= a.listAt && !a.listed && a.learnsFromHubs() {
		// Other nodes have already told this one of the fleet.
		interval := a.memberInterval()
		a.listed, a.listAt = true, now.Add(interval/2+time.Duration(a.rand.Int64N(int64(interval))))
	}
	if now := a.clock(); now >= a.listAt {
		a.listed = true
		err := a.list(limited)
		a.metrics.countRead("nodes", err)
		if ctx.Err() == nil {
			a.outages.observe(err)
		}
		pause := a.nextListInterval()
		a.listAt = a.clock().Add(pause + time.Duration(a.rand.Int64N(int64(pause/4))))
	}
}

// shouldAnnounce reports whether the node needs an entry in the store. Starting nodes
// join through seeds and hubs, or through any node of a small fleet.
func (a *announcer) shouldAnnounce(now boottime.Instant) bool {
	return a.isSeed || now.Sub(a.neededSince) >= settlePeriod
}

// nextListInterval returns the time until the next listing, without jitter.
func (a *announcer) nextListInterval() time.Duration {
	switch others := a.nodes.AliveCount(a.clock()); {
	case others == 0 && a.role() != nodesync.Member:
		return aloneListInterval
	case others < smallFleetSize:
		return smallFleetListInterval
	case a.learnsFromHubs():
		return a.memberInterval()
	default:
		return defaultListInterval
	}
}

// learnsFromHubs reports whether hubs tell this node of new nodes. The primary hubs list the
// announced nodes for it.
func (a *announcer) learnsFromHubs() bool {
	role := a.role()
	return role == nodesync.Member || role == nodesync.SecondaryHub
}

// memberInterval returns the interval between a member's listings, so that those of all members
// together do not become more often with the size of the fleet.
func (a *announcer) memberInterval() time.Duration {
	return max(memberListInterval, time.Duration(a.fleetSize())*memberListSpread)
}

// announce renews the lease, or grants a new one and writes the node's entry.
func (a *announcer) announce(ctx context.Context) error {
	if a.lease != 0 {
		err := a.store.Renew(ctx, a.lease)
		if !errors.Is(err, platform.ErrNotFound) {
			return err
		}
	}
	lease, err := a.store.Grant(ctx, announceTTL)
	if err != nil {
		return err
	}
	if err := a.store.Announce(ctx, a.self(), lease); err != nil {
		return err
	}
	a.lease = lease
	return nil
}

// list adds the announced nodes as candidate peers. An entry does not prove that the
// node is alive.
func (a *announcer) list(ctx context.Context) error {
	nodes, err := a.store.Nodes(ctx)
	if err != nil {
		return err
	}
	for _, n := range nodes {
		a.nodes.AddCandidate(n, a.clock())
	}
	return nil
}
