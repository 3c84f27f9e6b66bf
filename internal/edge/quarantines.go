package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/ctxtime"
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
	// keeperTick is the interval at which changes are written, keeperDelay the time for further ones after the
	// first change of a cause.
	keeperTick  = time.Second
	keeperDelay = 50 * time.Millisecond
	// keeperRetryPause is the time without calls after one has failed.
	keeperRetryPause = 4 * time.Second
	// maxKeptPerWrite bounds one write, as a transaction takes no more.
	maxKeptPerWrite = 32
	// maxKeptPending bounds the quarantines that wait for the store.
	maxKeptPending = 256
)

// quarantineKeeper keeps the quarantines that this node begins, and the causes of crashes that its calls met, in
// the platform's store, and reads them at a start: if all nodes restart at once, no other node has them. It is
// safe for concurrent use.
type quarantineKeeper struct {
	store   Store
	tracker *quarantine.Tracker
	causes  *crashcause.Tracker
	role    func() nodesync.Role
	clock   boottime.Clock
	log     *eventlog.Log
	outages outageLogger

	// loaded is set once the kept quarantines were read, or need not be. nextAt is the earliest time
	// of the next call.
	loaded bool
	nextAt boottime.Instant

	// loadedAt is the time of the last read; wake is sent to when a cause has changed.
	loadedAt boottime.Instant
	wake     chan struct{}

	mu            sync.Mutex
	pending       map[quarantine.Fingerprint]bool
	pendingCauses map[crashcause.Factor]bool
	reloadNeeded  bool
}

func newQuarantineKeeper(n *Node, tracker *quarantine.Tracker) *quarantineKeeper {
	return &quarantineKeeper{
		store: n.options.Store, tracker: tracker, causes: n.crashCauses, role: n.roleAtStore, clock: n.options.Clock, log: n.log,
		outages: outageLogger{recordName: "quarantines", log: n.log}, wake: make(chan struct{}, 1),
		pending: make(map[quarantine.Fingerprint]bool), pendingCauses: make(map[crashcause.Factor]bool),
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

// causeChanged notes a cause that is new or has crashed another replica.
func (k *quarantineKeeper) causeChanged(f crashcause.Factor) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.pendingCauses) < maxKeptPending {
		k.pendingCauses[f] = true
	}
	k.wakeUp()
}

// reload has the kept records read again: this node may not hear of what others have found.
func (k *quarantineKeeper) reload() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reloadNeeded = true
	k.wakeUp()
}

// wakeUp has the keeper act without waiting for its next tick.
func (k *quarantineKeeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run reads the kept records, again where that is asked for, and writes changes until ctx ends.
func (k *quarantineKeeper) run(ctx context.Context) {
	ticker := time.NewTicker(keeperTick)
	defer ticker.Stop()
	k.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-k.wake:
			if ctxtime.Sleep(ctx, keeperDelay) != nil {
				return
			}
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

// load reads the kept records at the start, and again where that is asked for. A member of a large fleet learns
// them from its hubs.
func (k *quarantineKeeper) load(ctx context.Context) error {
	if !k.loadDue() || k.role() == nodesync.Member {
		k.loaded = true
		return nil
	}
	records, found, err := k.store.CrashRecords(ctx)
	if !found {
		return err
	}
	k.loaded, k.loadedAt = true, k.clock()
	k.tracker.Merge(time.Now(), records.Quarantines)
	k.causes.Merge(time.Now(), records.Causes)
	k.log.Write(&quarantinesLoaded{records: len(records.Quarantines), causes: len(records.Causes), undecoded: err})
	return nil
}

// loadDue reports whether the kept records are to be read now.
func (k *quarantineKeeper) loadDue() bool {
	if !k.loaded {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.reloadNeeded || k.clock().Sub(k.loadedAt) < keeperTick {
		return false
	}
	k.reloadNeeded = false
	return true
}

// save writes the pending quarantines, as they are now, under a lease of their own.
func (k *quarantineKeeper) save(ctx context.Context) error {
	records := k.takePending()
	if records.Len() == 0 {
		return nil
	}
	lease, err := k.store.Grant(ctx, keptFor)
	if err == nil {
		err = k.store.SaveCrashRecords(ctx, records, lease)
	}
	if err == nil {
		return nil
	}
	k.changed(records.Quarantines)
	for i := range records.Causes {
		k.causeChanged(records.Causes[i].Factor)
	}
	return err
}

// takePending returns the records to write now, those of causes first.
func (k *quarantineKeeper) takePending() crashcause.Kept {
	k.mu.Lock()
	defer k.mu.Unlock()
	var records crashcause.Kept
	for f := range k.pendingCauses {
		if records.Len() == maxKeptPerWrite {
			return records
		}
		delete(k.pendingCauses, f)
		if r, ok := k.causes.Get(f); ok {
			records.Causes = append(records.Causes, r)
		}
	}
	for fp := range k.pending {
		if records.Len() == maxKeptPerWrite {
			return records
		}
		delete(k.pending, fp)
		if r, ok := k.tracker.Get(fp); ok {
			records.Quarantines = append(records.Quarantines, r)
		}
	}
	return records
}
