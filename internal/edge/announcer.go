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
	// announceTTL is how long a node that stopped stays announced, renewEvery leaves
	// two more tries before the lease ends. Both are long, as an entry only says whom
	// to ask: whether a node lives the nodes find out themselves.
	announceTTL = 30 * time.Second
	renewEvery  = 8 * time.Second
	// listEvery is how often the announced nodes are read. The nodes tell each
	// other of themselves; this finds those that nobody has met yet. With both at
	// 3 s, a fleet of 88 nodes spent a fifth of its calls of the store on them.
	listEvery = 8 * time.Second
	// listMember is the pace of a node that has a hub: the hubs meet the nodes that
	// are new, and tell of them.
	listMember = time.Minute
	// listEarly is the pace until another node is known, listFew that while fewer than
	// fewNodes are.
	listEarly = 500 * time.Millisecond
	listFew   = 3 * time.Second
	fewNodes  = 4
	// settleFor is the time from its start in which a node leaves it to the seeds to be
	// found by others: by then a node that a seed answers knows its role, and most
	// nodes of a large fleet need not be announced. Where each of 295 nodes announced
	// itself and read the list of all, a start took 8 calls of the store a node.
	settleFor = 2 * time.Second
	// announcerTick is how often the announcer looks at what is due.
	announcerTick = 500 * time.Millisecond
)

// announcer makes the node known in the platform's store, where others need it to
// meet the fleet, and finds others there.
type announcer struct {
	store Store
	self  func() nodesync.Node
	// role is the node's part in spreading news; isSeed says whether others are to
	// find it by their settings.
	role    func() nodesync.Role
	isSeed  bool
	nodes   *nodesync.Nodes
	clock   boottime.Clock
	log     *eventlog.Log
	metrics *metrics
	rand    *rand.Rand
	// lease is zero where none is held.
	lease int64
	// settledAt is the end of settleFor, renewAt when the lease is to be renewed or
	// taken, listAt when the announced nodes are to be read.
	settledAt, renewAt, listAt boottime.Instant
	// watch notices a lost store for a node that learns all else from others.
	watch storeWatch
}

// run renews and lists until ctx ends.
func (a *announcer) run(ctx context.Context) {
	now := a.clock()
	a.settledAt = now.Add(settleFor)
	if !a.isSeed {
		// The seeds may answer meanwhile.
		a.listAt = now.Add(listEarly)
	}
	a.watch = storeWatch{what: "nodes", log: a.log}
	for {
		a.round(ctx)
		if ctxtime.Sleep(ctx, announcerTick) != nil {
			return
		}
	}
}

// round makes the calls that are due.
func (a *announcer) round(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if now := a.clock(); now >= a.renewAt && a.mustBeFound(now) {
		a.renewAt = now.Add(renewEvery)
		err := a.announce(limited)
		a.metrics.read("announcement", err)
		if err != nil && ctx.Err() == nil {
			a.log.Error("announce node", err)
			a.renewAt = now.Add(a.listPause())
		}
	}
	if now := a.clock(); now >= a.listAt {
		err := a.list(limited)
		a.metrics.read("nodes", err)
		if ctx.Err() == nil {
			a.watch.note(err)
		}
		pause := a.listPause()
		a.listAt = a.clock().Add(pause + time.Duration(a.rand.Int64N(int64(pause/4))))
	}
}

// mustBeFound says whether the store has to tell of the node: a node that starts needs
// some that answer, and these are the seeds and the hubs, or all nodes of a small
// fleet.
func (a *announcer) mustBeFound(now boottime.Instant) bool {
	switch role := a.role(); {
	case a.isSeed:
		return true
	case now < a.settledAt:
		return false
	default:
		return role != nodesync.Member
	}
}

// listPause is the time until the next listing.
func (a *announcer) listPause() time.Duration {
	switch others := a.nodes.AliveCount(a.clock()); {
	case others == 0:
		return listEarly
	case others < fewNodes:
		return listFew
	case a.role() == nodesync.Member:
		return listMember
	default:
		return listEvery
	}
}

// announce renews the lease, or takes a new one and writes the node's entry.
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

// list takes in the announced nodes as candidates to ask. An entry says nothing
// about whether the node is still there.
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
