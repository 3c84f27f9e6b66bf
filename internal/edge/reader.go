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
	"galenatrestle/internal/replica"
	"galenatrestle/internal/routesource"
)

const (
	// readJitter spreads the reads of nodes that have no turn.
	readJitter = 600 * time.Millisecond
	// turnStep is how much later the next node in the order reads, where the one before
	// has not: longer than that one's read takes to be heard of. By turns a fleet of
	// seven made 184 calls of the store on a quiet day, against 291 with a jitter alone.
	turnStep = 250 * time.Millisecond
	// mostSteps bounds how late a node reads though all before it have failed.
	mostSteps = 2
	// turnJitter tells nodes apart that believe to have the same turn.
	turnJitter = 100 * time.Millisecond
	// readTimeout bounds one read, of several calls where a listing has pages: seven
	// for 3,000 replicas, and a megabyte, which takes a second on a slow link. The
	// store's client bounds each call.
	readTimeout = 4 * time.Second
)

// readAt is the age of a copy at which a node reads the store itself where changes are
// to be known within usualBound. Until then it learns from the others, who tell its age,
// so that a deployment reads a few times a second, however many nodes it has. Registrations change with each of their
// heartbeats, so that a watch would return many times a second. With the jitter, a
// read's time and a round between nodes, each is within the two seconds in which a
// leaving replica or a new configuration must be known.
var readAt = map[nodesync.Role]time.Duration{
	nodesync.Peer: 800 * time.Millisecond,
	// A hub reads for its availability zone, whose nodes ask it several times a
	// second, and read themselves only where it has failed.
	nodesync.PrimaryHub: 500 * time.Millisecond,
	// The further hubs of a large zone are asked as often, but learn of the first
	// one's reads within two rounds.
	nodesync.SecondaryHub: 800 * time.Millisecond,
	nodesync.Member:       1300 * time.Millisecond,
}

const (
	// usualBound is the time within which a change is known everywhere by readAt.
	usualBound = 2 * time.Second
	// mostSlack bounds how much later a node reads where the bound is longer: a node's
	// proof stays younger than readyAge though its hub has failed. On a deployment with
	// 4 s a fleet of 18 nodes made four calls of the store a second in place of two.
	mostSlack = 1.8
)

// slack is by how much later copies are read where changes must be known within the
// bound.
func slack(bound time.Duration) float64 {
	return min(max(bound.Seconds()/usualBound.Seconds(), 1), mostSlack)
}

// reader keeps the copies of the store's records fresh. Its two loops share
// nothing but the log.
type reader struct {
	store    Store
	routes   *routesource.Current
	replicas *replica.Set
	listed   func([]replica.Change)
	// role is the node's part in spreading what it reads.
	role func() nodesync.Role
	// turn is its place among the nodes that read for others.
	turn func() int
	// firstReadAt is when the node may read what it has no copy of: at its start, but
	// for a fleet's first one.
	firstReadAt boottime.Instant
	// applyWithin is the time within which a configuration must be known everywhere,
	// leaveWithin that for a leaving replica.
	applyWithin, leaveWithin func() time.Duration
	clock                    boottime.Clock
	log                      *eventlog.Log
	metrics                  *metrics
}

// record is one of the store's records of which a reader keeps a copy.
type record struct {
	name string
	// age is that of the copy.
	age func() time.Duration
	// known says whether there is a copy.
	known func() bool
	read  func(context.Context) error
	// bound is the time within which a change must be known everywhere.
	bound func() time.Duration
}

// follow reads the record again and again until ctx ends.
func (r *reader) follow(ctx context.Context, record record, random *rand.Rand) {
	pause := time.Duration(0)
	watch := storeWatch{what: record.name, log: r.log}
	for {
		if !r.awaitAge(ctx, random, record) {
			return
		}
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		err := record.read(limited)
		cancel()
		r.metrics.read(record.name, err)
		if ctx.Err() != nil {
			return
		}
		watch.note(err)
		if err == nil {
			pause = 0
			continue
		}
		pause = r.backoff(record).next(pause)
		if ctxtime.Sleep(ctx, pause/2+time.Duration(random.Int64N(int64(pause)))) != nil {
			return
		}
	}
}

// backoff is how the reader waits between failed reads of the record.
func (r *reader) backoff(record record) backoff {
	if !record.known() {
		return startBackoff
	}
	return backoffs[r.role()]
}

// dueAge is the age at which this node reads a copy. One read saves the others':
// nodes that read for the same ones do it in turns, the others at different ages.
// spread is drawn for each wait, between 0 and 1.
func (r *reader) dueAge(spread float64, bound time.Duration) time.Duration {
	role := r.role()
	due := time.Duration(float64(readAt[role]) * slack(bound))
	switch role {
	case nodesync.Peer, nodesync.PrimaryHub:
		step := turnStep * time.Duration(min(r.turn(), mostSteps))
		return due + step + time.Duration(spread*float64(turnJitter))
	default:
		return due + time.Duration(spread*float64(readJitter))
	}
}

// awaitAge waits until the copy is due for a read; false: ctx has ended.
func (r *reader) awaitAge(ctx context.Context, random *rand.Rand, record record) bool {
	spread := random.Float64()
	for {
		left := max(r.dueAge(spread, record.bound())-record.age(), r.untilFirst())
		if left <= 0 {
			return ctx.Err() == nil
		}
		if ctxtime.Sleep(ctx, left) != nil {
			return false
		}
	}
}

// untilFirst is the time for which the node leaves the reading to others though it
// knows nothing.
func (r *reader) untilFirst() time.Duration {
	if r.firstReadAt == 0 {
		return 0
	}
	return r.firstReadAt.Sub(r.clock())
}

// configuration is the operator's configuration.
func (r *reader) configuration() record {
	known := func() bool { return r.routes.Get().Version() > 0 }
	return record{name: "configuration", age: r.routesAge, known: known, read: r.readRoutes, bound: r.applyWithin}
}

// registrations are those of the replicas.
func (r *reader) registrations() record {
	return record{name: "replicas", age: r.replicasAge, known: r.replicas.HasListing, read: r.readReplicas, bound: r.leaveWithin}
}

// routesAge is the time since the routing table was known to be the newest.
func (r *reader) routesAge() time.Duration { return r.routes.Get().Age(r.clock()) }

// replicasAge is the age of the newest read of the registrations.
func (r *reader) replicasAge() time.Duration {
	_, readAt := r.replicas.Latest()
	return r.clock().Sub(readAt)
}

// readRoutes reads the operator's configuration. The read is linearizable, so
// that what it returns was the newest at some instant after its start.
func (r *reader) readRoutes(ctx context.Context) error {
	began := r.clock()
	document, err := r.store.Configuration(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		// None was written yet, which the other nodes are told.
		r.routes.Prove(0, began)
		return nil
	}
	if err != nil {
		return err
	}
	changed, err := r.routes.Take(document, began)
	if err != nil {
		return err
	}
	if changed {
		r.log.Write(&routesource.Taken{Version: r.routes.Get().Version(), From: "store", Age: r.clock().Sub(began)})
	}
	return nil
}

// readReplicas reads the registrations.
func (r *reader) readReplicas(ctx context.Context) error {
	began := r.clock()
	listing, err := r.store.Replicas(ctx)
	if err != nil && listing.Revision == 0 {
		return err
	}
	if err != nil {
		r.log.Error("decode registrations", err)
	}
	r.listed(r.replicas.Update(listing, began, r.clock()))
	return nil
}
