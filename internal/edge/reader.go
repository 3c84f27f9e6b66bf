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
	// readJitter spreads the reads of nodes that have no place in the read order.
	readJitter = 600 * time.Millisecond
	// staggerStep is the delay between consecutive nodes in the read order. It is longer
	// than a copy takes to reach the other nodes, so that the next node need not read. A fleet of
	// seven made 184 calls to the store on a quiet day, and 291 with random jitter alone.
	staggerStep = 250 * time.Millisecond
	// maxStaggerSteps bounds the delay if all earlier nodes in the order failed to read.
	maxStaggerSteps = 2
	// staggerJitter separates the reads of nodes that compute the same index.
	staggerJitter = 100 * time.Millisecond
	// readTimeout bounds one read, which takes several calls if a listing has pages: seven for 3,000
	// replicas, and a megabyte, which takes a second on a slow link. The store's client bounds
	// each call.
	readTimeout = 4 * time.Second
)

// readAgeByRole is the age of a copy at which a node reads the store itself, for changes
// that must propagate within defaultPropagationBound. Until then it gets newer copies from
// other nodes, so the load on the store does not grow with the fleet. Including jitter, the
// read and a round between nodes, each age stays within defaultPropagationBound.
var readAgeByRole = map[nodesync.Role]time.Duration{
	nodesync.Peer: 800 * time.Millisecond,
	// A primary hub reads for the nodes of its availability zone, which read themselves only
	// if it fails.
	nodesync.PrimaryHub: 500 * time.Millisecond,
	// A secondary hub of a large zone gets the primary's reads within two rounds.
	nodesync.SecondaryHub: 800 * time.Millisecond,
	nodesync.Member:       1300 * time.Millisecond,
}

const (
	// defaultPropagationBound is the propagation time that readAgeByRole is designed for.
	defaultPropagationBound = 2 * time.Second
	// maxSlackFactor keeps the read age, without jitter, below maxReadyProofAge for longer
	// bounds, even if the node's hub has failed.
	maxSlackFactor = 1.8
)

// slackFactor returns the factor by which the read age grows for a longer bound.
func slackFactor(bound time.Duration) float64 {
	return min(max(bound.Seconds()/defaultPropagationBound.Seconds(), 1), maxSlackFactor)
}

// reader refreshes the copies of the store's records. poll runs concurrently, once for each
// record.
type reader struct {
	store            Store
	registrations    registrations
	eras             *eraWatcher
	routes           *routesource.Current
	replicas         *replica.Set
	onReplicaChanges func([]replica.Change)
	// keepsWholeListing reports whether the node keeps all registrations, not only the part
	// that it uses.
	keepsWholeListing func() bool
	// role is the node's role in the exchange between nodes.
	role func() nodesync.Role
	// fleetSize returns the number of nodes.
	fleetSize func() int
	// beginFirstRead tells other nodes that this one begins to read the registrations without
	// having a copy; sinceOthersFirstRead returns the time since another node last did, if that is
	// known.
	beginFirstRead       func()
	sinceOthersFirstRead func() (time.Duration, bool)
	// readerIndex is the node's position among the nodes that read for others.
	readerIndex func() int
	// firstReadAt is when the node may read records that it has no copy of; zero means at
	// once.
	firstReadAt boottime.Instant
	// applyWithin is the bound for propagating a configuration, leaveWithin that for a
	// leaving replica.
	applyWithin, leaveWithin func() time.Duration
	clock                    boottime.Clock
	log                      *eventlog.Log
	metrics                  *metrics
}

// record describes a part of the store of which the node keeps a copy.
type record struct {
	name string
	// age returns the age of the copy.
	age     func() time.Duration
	hasCopy func() bool
	read    func(context.Context) error
	// bound returns the time within which a change must reach all nodes.
	bound func() time.Duration
	// large records take so much of the store's link that only few nodes can read them at a time.
	large bool
}

// poll reads the record whenever its copy is due, until ctx ends.
func (r *reader) poll(ctx context.Context, rec record, random *rand.Rand) {
	pause := time.Duration(0)
	outages := outageLogger{recordName: rec.name, log: r.log}
	for {
		if !r.waitUntilDue(ctx, random, rec) {
			return
		}
		if rec.large && !rec.hasCopy() {
			if !r.waitForCopy(ctx, random, rec) {
				return
			}
			if rec.hasCopy() {
				continue
			}
			r.beginFirstRead()
		}
		err := r.read(ctx, rec)
		if ctx.Err() != nil {
			return
		}
		outages.observe(err)
		if err == nil {
			pause = 0
			continue
		}
		pause = r.backoffFor(rec).next(pause)
		if ctxtime.Sleep(ctx, pause/2+time.Duration(random.Int64N(int64(pause)))) != nil {
			return
		}
	}
}

// read reads the record once.
func (r *reader) read(ctx context.Context, rec record) error {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := rec.read(limited)
	r.metrics.countRead(rec.name, err)
	if err == nil {
		r.eras.observe()
	}
	return err
}

// backoffFor returns the pauses between failed reads of the record.
func (r *reader) backoffFor(rec record) backoff {
	if !rec.hasCopy() {
		return startBackoff
	}
	return backoffByRole[r.role()]
}

// dueAge returns the age of a copy at which this node reads the store. Nodes that read for
// others are staggered in the read order and the rest by jitter, so that the copy from one
// read can reach the others before theirs is due. spread is a random number in [0, 1),
// drawn once per wait.
func (r *reader) dueAge(spread float64, rec record) time.Duration {
	role := r.role()
	due := time.Duration(float64(readAgeByRole[role]) * slackFactor(rec.bound()))
	jitter := readJitter
	if rec.large {
		_, spreadTime := r.spreadOfRole(role)
		jitter = max(jitter, spreadTime)
	}
	switch role {
	case nodesync.Peer, nodesync.PrimaryHub:
		step := staggerStep * time.Duration(min(r.readerIndex(), maxStaggerSteps))
		return due + step + time.Duration(spread*float64(staggerJitter))
	default:
		return due + time.Duration(spread*float64(jitter))
	}
}

// maxDueSleep is how soon a node that has become a hub notices that its copy is due earlier.
const maxDueSleep = time.Second

// waitUntilDue waits until the copy is due for a read. It returns false if ctx ended.
func (r *reader) waitUntilDue(ctx context.Context, random *rand.Rand, rec record) bool {
	spread := random.Float64()
	for {
		left := max(r.dueAge(spread, rec)-rec.age(), r.untilFirstRead(rec))
		if left <= 0 {
			return ctx.Err() == nil
		}
		if ctxtime.Sleep(ctx, min(left, maxDueSleep)) != nil {
			return false
		}
	}
}

// untilFirstRead returns the time left until the node may read the record; it is not positive if
// it may.
func (r *reader) untilFirstRead(rec record) time.Duration {
	if r.firstReadAt == 0 {
		return 0
	}
	at := r.firstReadAt
	if r.role() == nodesync.PrimaryHub && rec.age() < firstReadDelay {
		at = at.Add(-hubLeadTime)
	}
	return at.Sub(r.clock())
}

func (r *reader) configurationRecord() record {
	hasCopy := func() bool { return r.routes.Get().Version() > 0 }
	return record{name: "configuration", age: r.routesAge, hasCopy: hasCopy, read: r.readRoutes, bound: r.applyWithin}
}

func (r *reader) registrationsRecord() record {
	return record{name: "replicas", age: r.replicasAge, hasCopy: r.replicas.HasListing, read: r.readReplicas, bound: r.leaveWithin, large: true}
}

// routesAge returns the time since the routing table was last proven to be the newest.
func (r *reader) routesAge() time.Duration { return r.routes.Get().Age(r.clock()) }

// replicasAge returns the age of the newest read of the registrations.
func (r *reader) replicasAge() time.Duration {
	_, readAt := r.replicas.Latest()
	return r.clock().Sub(readAt)
}

// readRoutes reads the operator's configuration. The read is linearizable: its result was
// the newest at some instant after its start.
func (r *reader) readRoutes(ctx context.Context) error {
	began := r.clock()
	document, err := r.store.Configuration(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		// No configuration exists yet; this is passed on to other nodes as version 0.
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
		r.log.Write(&routesource.Taken{Version: r.routes.Get().Version(), Admits: r.routes.Get().Table.Admits(), From: "store", Age: r.clock().Sub(began)})
	}
	return nil
}

// readReplicas reads the registrations. Entries that cannot be decoded are logged.
func (r *reader) readReplicas(ctx context.Context) error {
	began := r.clock()
	listing, err := r.registrations.read(ctx)
	if err != nil && listing.Revision == 0 {
		return err
	}
	if err != nil {
		r.log.Error("decode registrations", err)
	}
	if !r.keepsWholeListing() {
		listing = r.replicas.Narrow(listing)
	}
	r.onReplicaChanges(r.replicas.Update(listing, began, r.clock()))
	return nil
}
