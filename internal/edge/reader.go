package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/routesource"
)

const (
	// readJitter spreads the reads, so that one node's read saves the others'.
	readJitter = 600 * time.Millisecond
	// readTimeout bounds one read: a store that is slower counts as away.
	readTimeout = 900 * time.Millisecond
	// longestPause bounds the growing pause after failed reads.
	longestPause = 1200 * time.Millisecond
	// firstPause is the pause after the first failed read. Before anything is
	// known a node cannot serve, and asks again soon.
	firstPause = 100 * time.Millisecond
)

// readAt is the age of a copy at which a node reads the store itself. Until then it
// learns from the others, who tell its age, so that a deployment reads a few times a
// second, however many nodes it has. Registrations change with each of their
// heartbeats, so that a watch would return many times a second. With the jitter, a
// read's time and a round between nodes, each is within the two seconds in which a
// leaving replica or a new configuration must be known.
var readAt = map[nodesync.Role]time.Duration{
	nodesync.Equal: 800 * time.Millisecond,
	// A hub reads for its availability zone, whose nodes ask it several times a
	// second, and read themselves only where it has failed.
	nodesync.Hub:    300 * time.Millisecond,
	nodesync.Member: 1300 * time.Millisecond,
}

// reader keeps the copies of the store's records fresh. Its two loops share
// nothing but the log.
type reader struct {
	store    Store
	routes   *routesource.Current
	replicas *replica.Set
	listed   func([]replica.Change)
	// role is the node's part in spreading what it reads.
	role    func() nodesync.Role
	clock   boottime.Clock
	log     *eventlog.Log
	metrics *metrics
}

// follow calls read again and again until ctx ends.
func (r *reader) follow(ctx context.Context, name string, random *rand.Rand, age func() time.Duration, read func(context.Context) error) {
	pause := firstPause
	lost := false
	for {
		if !r.awaitAge(ctx, random, age) {
			return
		}
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		err := read(limited)
		cancel()
		r.metrics.read(name, err)
		if ctx.Err() != nil {
			return
		}
		if lost != (err != nil) {
			lost = err != nil
			r.log.Write(&storeChanged{what: name, err: err})
		}
		if err == nil {
			pause = firstPause
			continue
		}
		if ctxtime.Sleep(ctx, pause/2+time.Duration(random.Int64N(int64(pause)))) != nil {
			return
		}
		pause = min(2*pause, longestPause)
	}
}

// awaitAge waits until the copy is due for a read; false: ctx has ended. Each
// wait draws its own limit, so that the nodes take turns.
func (r *reader) awaitAge(ctx context.Context, random *rand.Rand, age func() time.Duration) bool {
	jitter := time.Duration(random.Int64N(int64(readJitter)))
	for {
		left := readAt[r.role()] + jitter - age()
		if left <= 0 {
			return ctx.Err() == nil
		}
		if ctxtime.Sleep(ctx, left) != nil {
			return false
		}
	}
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
	r.listed(r.replicas.Take(listing, began, r.clock()))
	return nil
}
