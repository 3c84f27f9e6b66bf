package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/routesource"
)

const (
	// readEvery is the time between two reads of the store. Registrations
	// change with each of their heartbeats, so that a watch would return many
	// times a second; a read at this pace costs less, and is well within the
	// two seconds in which a leaving replica or a new configuration must be
	// known.
	readEvery = 600 * time.Millisecond
	// readJitter spreads the reads of nodes that started together.
	readJitter = 100 * time.Millisecond
	// readTimeout bounds one read: a store that is slower counts as away.
	readTimeout = 900 * time.Millisecond
	// longestPause bounds the growing pause after failed reads.
	longestPause = 1200 * time.Millisecond
	// firstPause is the pause after the first failed read. Before anything is
	// known a node cannot serve, and asks again soon.
	firstPause = 100 * time.Millisecond
)

// reader keeps the copies of the store's records fresh. Its two loops share
// nothing but the log.
type reader struct {
	store    Store
	routes   *routesource.Current
	replicas *replica.Set
	listed   func([]replica.Change)
	clock    boottime.Clock
	log      *eventlog.Log
	metrics  *metrics
}

// follow calls read again and again until ctx ends.
func (r *reader) follow(ctx context.Context, name string, random *rand.Rand, read func(context.Context) error) {
	pause := firstPause
	lost := false
	for {
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		err := read(limited)
		cancel()
		r.metrics.read(name, err)
		if ctx.Err() != nil {
			return
		}
		next := readEvery
		if err != nil {
			next = pause
			pause = min(2*pause, longestPause)
		} else {
			pause = firstPause
		}
		if lost != (err != nil) {
			lost = err != nil
			r.log.Write(&storeChanged{what: name, err: err})
		}
		next += time.Duration(random.Int64N(int64(readJitter)))
		if ctxtime.Sleep(ctx, next) != nil {
			return
		}
	}
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
		r.log.Write(&configTaken{version: r.routes.Get().Version(), took: r.clock().Sub(began)})
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
