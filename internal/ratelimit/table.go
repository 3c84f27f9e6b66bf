package ratelimit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"galenatrestle/internal/boottime"
)

// Table is this node's copy of the limits of all replicas. It is safe for concurrent use.
type Table struct {
	clock boottime.Clock

	mu    sync.Mutex
	known map[string]Limit
	// inForce contains the limits that are not lifted. Stored maps are immutable.
	inForce atomic.Pointer[map[string]Limit]
}

// NewTable returns an empty table.
func NewTable(clock boottime.Clock) *Table {
	return &Table{clock: clock, known: make(map[string]Limit)}
}

// Now returns the current instant of the clock used for Limit.ObservedAt.
func (t *Table) Now() boottime.Instant { return t.clock() }

// InForce returns the limits in force by replica ID, nil for none. The map is shared and must
// not be modified.
func (t *Table) InForce() map[string]Limit {
	limits := t.inForce.Load()
	if limits == nil {
		return nil
	}
	return *limits
}

// Observe updates the table from a response. It returns the response's limit and whether it
// changed the one in the table. A response without a rate that lifts no limit returns the
// zero Limit.
func (t *Table) Observe(observation Observation) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Limit{Replica: observation.Replica.ID, StartedAt: observation.Replica.StartedAt, PerSecond: observation.PerSecond, Lifted: !observation.Limited, ObservedAt: observation.ReceivedAt}
	old, known := t.known[l.Replica]
	if l.Lifted && !(known && !old.Lifted && observation.Succeeded && observation.SentAt > old.ObservedAt) {
		// Only a successful response to a request sent after the last announcement of the
		// limit lifts it.
		return Limit{}, false
	}
	return l, t.merge(l)
}

// Merge merges limits received from another node and returns those that changed.
func (t *Table) Merge(limits []Limit) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Limit
	for _, l := range limits {
		if t.merge(l) {
			changed = append(changed, l)
		}
	}
	return changed
}

// Newest returns the newer of the given limit and the table's limit of the same replica.
func (t *Table) Newest(l Limit) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.known[l.Replica]; ok && known.ObservedAt >= l.ObservedAt {
		return known
	}
	return l
}

// ForPeers returns the limits to send to other nodes: those in force and those lifted recently,
// at most maxPeerLimits.
func (t *Table) ForPeers() []Limit {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	var limits []Limit
	for _, l := range t.known {
		if (!l.Lifted || now.Sub(l.ObservedAt) < liftedRetention) && len(limits) < maxPeerLimits {
			limits = append(limits, l)
		}
	}
	return limits
}

const (
	// liftedRetention is how long a lifted limit is sent to other nodes. It covers tens of
	// message exchanges between nodes.
	liftedRetention = 10 * time.Second
	// maxPeerLimits bounds the number of limits in one message.
	maxPeerLimits = 256
)

// merge stores the limit if it is newer than the stored one, and reports whether anything but
// its age changed. A lifted limit of an unknown replica is not a change. The lock is held.
func (t *Table) merge(l Limit) bool {
	old, known := t.known[l.Replica]
	if known && l.ObservedAt <= old.ObservedAt {
		return false
	}
	t.known[l.Replica] = l
	if !known && l.Lifted || known && l.StartedAt == old.StartedAt && l.Lifted == old.Lifted && l.PerSecond == old.PerSecond {
		return false
	}
	t.publish()
	return true
}

// Forget removes the limit of a deregistered replica.
func (t *Table) Forget(replica string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.known[replica]; !known {
		return
	}
	delete(t.known, replica)
	t.publish()
}

// publish rebuilds inForce. The lock is held.
func (t *Table) publish() {
	limits := maps.Clone(t.known)
	maps.DeleteFunc(limits, func(_ string, l Limit) bool { return l.Lifted })
	t.inForce.Store(&limits)
}
