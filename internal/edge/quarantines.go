package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/quarantine"
)

const (
	// keptCrashes is the number of crashes from which on a quarantine is kept in the platform's
	// store. Shorter quarantines end about as soon as a fleet is back.
	keptCrashes = 3
	// keptFor is how long the store keeps a quarantine, the longest time of its leases.
	keptFor = 10 * time.Minute
	// keeperTick is the interval at which changes are written.
	keeperTick = time.Second
	// keeperRetryPause is the time without calls after one has failed.
	keeperRetryPause = 4 * time.Second
	// maxKeptPerWrite bounds one write, as a transaction takes no more.
	maxKeptPerWrite = 32
	// maxKeptPending bounds the quarantines that wait for the store.
	maxKeptPending = 256
)

// quarantineKeeper keeps the quarantines that this node begins in the platform's store, and
// reads them after a start: if all nodes restart at once, no other node has them. It is safe for
// concurrent use.
type quarantineKeeper struct {
	store   Store
	tracker *quarantine.Tracker
	role    func() nodesync.Role
	clock   boottime.Clock
	log     *eventlog.Log
	outages outageLogger

	// loaded is set once the kept quarantines were read, or need not be. nextAt is the earliest time
	// of the next call.
	loaded bool
	nextAt boottime.Instant

	mu      sync.Mutex
	pending map[quarantine.Fingerprint]bool
}

func newQuarantineKeeper(n *Node, tracker *quarantine.Tracker) *quarantineKeeper {
	return &quarantineKeeper{
		store: n.options.Store, tracker: tracker, role: n.roleAtStore, clock: n.options.Clock, log: n.log,
		outages: outageLogger{recordName: "quarantines", log: n.log},
		pending: make(map[quarantine.Fingerprint]bool),
	}
}

// changed notes the records that a crash has changed.
func (k *quarantineKeeper) changed(records []quarantine.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range records {
		if r.Crashes >= keptCrashes && !r.Until.IsZero() && len(k.pending) < maxKeptPending {
			k.pending[r.Fingerprint] = true
		}
	}
}

// run writes changes, and reads the kept quarantines once, until ctx ends.
func (k *quarantineKeeper) run(ctx context.Context) {
	ticker := time.NewTicker(keeperTick)
	defer ticker.Stop()
	// By then a node knows whether others have the quarantines.
	k.nextAt = k.clock().Add(settlePeriod)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if k.clock() >= k.nextAt {
			k.tick(ctx)
		}
	}
}

// tick makes the calls that are due.
func (k *quarantineKeeper) tick(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := errors.Join(k.load(limited), k.save(limited))
	if ctx.Err() != nil {
		return
	}
	k.outages.observe(err)
	if err != nil {
		k.nextAt = k.clock().Add(keeperRetryPause)
	}
}

// load reads the kept quarantines once. A member of a large fleet learns them from its hubs.
func (k *quarantineKeeper) load(ctx context.Context) error {
	if k.loaded || k.role() == nodesync.Member {
		k.loaded = true
		return nil
	}
	records, err := k.store.Quarantines(ctx)
	if records == nil {
		return err
	}
	k.loaded = true
	k.tracker.Merge(time.Now(), records)
	k.log.Write(&quarantinesLoaded{records: len(records), undecoded: err})
	return nil
}

// save writes the pending quarantines, as they are now, under a lease of their own.
func (k *quarantineKeeper) save(ctx context.Context) error {
	records := k.takePending()
	if len(records) == 0 {
		return nil
	}
	lease, err := k.store.Grant(ctx, keptFor)
	if err == nil {
		err = k.store.SaveQuarantines(ctx, records, lease)
	}
	if err != nil {
		k.changed(records)
	}
	return err
}

func (k *quarantineKeeper) takePending() []quarantine.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	var records []quarantine.Record
	for fp := range k.pending {
		if len(records) == maxKeptPerWrite {
			break
		}
		delete(k.pending, fp)
		if r, ok := k.tracker.Get(fp); ok {
			records = append(records, r)
		}
	}
	return records
}
