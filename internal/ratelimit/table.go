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
	// byUpstream is the newest that any replica of the upstream said of being brittle.
	byUpstream map[string]Limit
	published  atomic.Pointer[knownLimits]
	changes    atomic.Uint64
}

// NewTable returns an empty table.
func NewTable(clock boottime.Clock) *Table {
	return &Table{clock: clock, known: make(map[string]Limit), byUpstream: make(map[string]Limit)}
}

// Now returns the current instant of the clock used for Limit.ObservedAt.
func (t *Table) Now() boottime.Instant { return t.clock() }

// InForce returns the limits in force by replica ID, nil for none. The map is shared and must
// not be modified.
func (t *Table) InForce() map[string]Limit {
	if known := t.published.Load(); known != nil {
		return known.inForce
	}
	return nil
}

// Current returns the limits as of now.
func (t *Table) Current() Limits {
	known := t.published.Load()
	if known == nil || len(known.byUpstream) == 0 {
		// Only presumptions depend on the time.
		return Limits{known: known}
	}
	return Limits{known: known, now: t.clock()}
}

// Observe updates the table from a response. It returns the limit after the response and whether it
// changed the one in the table. A response that neither announces nor lifts anything returns the
// zero Limit.
func (t *Table) Observe(o Observation) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	process := o.Replica.Process()
	old, known := t.known[process.ID]
	if !known || !old.isOf(process) {
		old = Limit{Lifted: true}
	}
	l := o.limit(old)
	announces := o.Limited || o.Brittle.Brittle
	if !announces && (l.sameTerms(&old) || !old.inForce()) && !t.endsPresumption(&o) {
		return Limit{}, false
	}
	return l, t.merge(l)
}

// endsPresumption reports whether the response shows that a replica that was presumed brittle is not.
// The lock is held.
func (t *Table) endsPresumption(o *Observation) bool {
	if known, found := t.known[o.Replica.ID]; found && known.isOf(o.Replica.Process()) {
		return false
	}
	news, known := t.byUpstream[o.Replica.Upstream]
	return known && o.Succeeded && isPresumed(&news, o.ReceivedAt)
}

// Merge merges limits received from another node and returns those that changed. Of limits whose
// process is not registered, only what they tell of their upstream is kept: they would never be removed.
func (t *Table) Merge(limits []Limit, isRegistered func(replica string, startedAt int64) bool) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Limit
	for _, l := range limits {
		if !isRegistered(l.Replica, l.StartedAt) {
			if t.noteUpstream(&l, l.Brittle.Brittle) {
				t.publish()
			}
			continue
		}
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
		if (l.inForce() || now.Sub(l.ObservedAt) < liftedRetention) && len(limits) < maxPeerLimits {
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
	upstreamChanged := t.noteUpstream(&l, !known || old.Brittle.Brittle || l.Brittle.Brittle)
	changed := !known && l.inForce() || known && !l.sameTerms(&old)
	if changed || !known || upstreamChanged {
		t.publish()
	}
	return changed
}

// upstreamRefreshInterval is the interval at which repeated news of an upstream are published.
const upstreamRefreshInterval = presumptionTTL / 10

// noteUpstream records what the limit tells of all replicas of the upstream, if anything. It reports
// whether this has to be published. The lock is held.
func (t *Table) noteUpstream(l *Limit, tells bool) bool {
	old, known := t.byUpstream[l.Upstream]
	if !tells || l.Upstream == "" || known && l.ObservedAt <= old.ObservedAt || !known && !l.Brittle.Brittle {
		return false
	}
	if known && old.Brittle == l.Brittle && l.ObservedAt.Sub(old.ObservedAt) < upstreamRefreshInterval {
		return false
	}
	t.byUpstream[l.Upstream] = *l
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

// Changes returns how often anything but the age of limits has changed.
func (t *Table) Changes() uint64 { return t.changes.Load() }

// publish makes the limits visible to readers. The lock is held.
func (t *Table) publish() {
	t.changes.Add(1)
	inForce := maps.Clone(t.known)
	maps.DeleteFunc(inForce, func(_ string, l Limit) bool { return !l.inForce() })
	t.published.Store(&knownLimits{byReplica: maps.Clone(t.known), inForce: inForce, byUpstream: maps.Clone(t.byUpstream)})
}
