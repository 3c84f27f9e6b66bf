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
	// it.
	defaultListInterval = 8 * time.Second
	// memberListInterval is longer, since a member learns of new nodes from its hub.
	memberListInterval = time.Minute
	// aloneListInterval applies while no other node is known, smallFleetListInterval while
	// fewer than smallFleetSize are, as on a node that is cut off from a large fleet.
	aloneListInterval      = 500 * time.Millisecond
	smallFleetListInterval = 3 * time.Second
	smallFleetSize         = 4
	// settlePeriod is the time after the start in which only seeds announce themselves. By
	// its end a node that reached a seed knows its role, and most nodes of a large fleet
	// need no announcement.
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
	role    func() nodesync.Role
	isSeed  bool
	nodes   *nodesync.Nodes
	clock   boottime.Clock
	log     *eventlog.Log
	metrics *metrics
	rand    *rand.Rand
	// lease is zero if the node has none. announcedEra is the store's era at the last tick.
	lease        int64
	announcedEra int64
	// settledAt is the end of settlePeriod, renewAt when to renew or grant the lease, listAt
	// when to list the announced nodes.
	settledAt, renewAt, listAt boottime.Instant
	// listed is set once the announced nodes were listed, or need not be.
	listed bool
	// outages logs store outages. A node that gets all its copies from other nodes detects
	// one by the failed listing.
	outages outageLogger
}

// run renews the lease and lists nodes until ctx ends.
func (a *announcer) run(ctx context.Context) {
	now := a.clock()
	a.settledAt = now.Add(settlePeriod)
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
	if now := a.clock(); now >= a.renewAt && a.shouldAnnounce(now) {
		a.renewAt = now.Add(renewInterval)
		err := a.announce(limited)
		a.metrics.countRead("announcement", err)
		if err != nil && ctx.Err() == nil {
			a.log.Error("announce node", err)
			a.renewAt = now.Add(a.nextListInterval())
		}
	}
	if now := a.clock(); now >= a.listAt && !a.listed && a.role() == nodesync.Member {
		// Other nodes have already told this one of the fleet.
		a.listed, a.listAt = true, now.Add(memberListInterval/2+time.Duration(a.rand.Int64N(int64(memberListInterval))))
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
	switch role := a.role(); {
	case a.isSeed:
		return true
	case now < a.settledAt:
		return false
	default:
		return role != nodesync.Member
	}
}

// nextListInterval returns the time until the next listing, without jitter.
func (a *announcer) nextListInterval() time.Duration {
	switch others := a.nodes.AliveCount(a.clock()); {
	case others == 0 && a.role() != nodesync.Member:
		return aloneListInterval
	case others < smallFleetSize:
		return smallFleetListInterval
	case a.role() == nodesync.Member:
		return memberListInterval
	default:
		return defaultListInterval
	}
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
