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
	// listEarly is the pace until another node is known, listFew that while fewer than
	// fewNodes are.
	listEarly = 500 * time.Millisecond
	listFew   = 3 * time.Second
	fewNodes  = 4
)

// announcer makes the node known in the platform's store and finds others there.
type announcer struct {
	store Store
	self  func() nodesync.Node
	nodes *nodesync.Nodes
	clock boottime.Clock
	log   *eventlog.Log
	rand  *rand.Rand
	// lease is zero where none is held.
	lease int64
}

// run renews and lists until ctx ends.
func (a *announcer) run(ctx context.Context) {
	var renewAt boottime.Instant
	// A node that learns all else from others notices a lost store here.
	watch := storeWatch{what: "nodes", log: a.log}
	for {
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		if now := a.clock(); now >= renewAt {
			if err := a.announce(limited); err != nil && ctx.Err() == nil {
				a.log.Error("announce node", err)
			} else {
				renewAt = now.Add(renewEvery)
			}
		}
		err := a.list(limited)
		cancel()
		if ctx.Err() == nil {
			watch.note(err)
		}
		pause := listPause(len(a.nodes.Alive(a.clock())))
		if ctxtime.Sleep(ctx, pause+time.Duration(a.rand.Int64N(int64(pause/4)))) != nil {
			return
		}
	}
}

// listPause is the time until the next listing, with so many other nodes alive.
func listPause(others int) time.Duration {
	switch {
	case others == 0:
		return listEarly
	case others < fewNodes:
		return listFew
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
		a.nodes.Suggest(n, a.clock())
	}
	return nil
}
