package ratelimit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"galenatrestle/internal/boottime"
)

// Table is the limits that this node knows. It is safe for concurrent use.
type Table struct {
	clock boottime.Clock

	mu    sync.Mutex
	known map[string]Limit
	// inForce has those that are not lifted. A map that was stored is not changed.
	inForce atomic.Pointer[map[string]Limit]
}

// NewTable returns a table without limits.
func NewTable(clock boottime.Clock) *Table {
	return &Table{clock: clock, known: make(map[string]Limit)}
}

// Now is the instant by which limits are dated.
func (t *Table) Now() boottime.Instant { return t.clock() }

// InForce is the limits in force by the replicas' identities, nil for none. The map is
// shared and not to be changed.
func (t *Table) InForce() map[string]Limit {
	limits := t.inForce.Load()
	if limits == nil {
		return nil
	}
	return *limits
}

// Observe takes in what an answer says. It reports the limit that is in force or lifted by
// it, where that is news.
func (t *Table) Observe(a Observation) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Limit{Replica: a.Replica.ID, StartedAt: a.Replica.StartedAt, PerSecond: a.PerSecond, Lifted: !a.Limited, ObservedAt: a.ReceivedAt}
	old, known := t.known[l.Replica]
	if l.Lifted && !(known && !old.Lifted && a.Succeeded && a.SentAt > old.ObservedAt) {
		// An answer that was on its way when the limit was named says nothing of it.
		return Limit{}, false
	}
	return l, t.take(l)
}

// Merge takes in the limits that another node told, and returns those that are news.
func (t *Table) Merge(limits []Limit) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []Limit
	for _, l := range limits {
		if t.take(l) {
			news = append(news, l)
		}
	}
	return news
}

// Newest is the given limit, or a newer one that is known of the same replica.
func (t *Table) Newest(l Limit) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.known[l.Replica]; ok && known.ObservedAt >= l.ObservedAt {
		return known
	}
	return l
}

// ForPeers is the limits that other nodes are told: those in force, and those lifted lately.
func (t *Table) ForPeers() []Limit {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	var told []Limit
	for _, l := range t.known {
		if (!l.Lifted || now.Sub(l.ObservedAt) < liftedNews) && len(told) < maxTold {
			told = append(told, l)
		}
	}
	return told
}

const (
	// liftedNews is how long it is told that a limit was lifted: some tens of rounds.
	liftedNews = 10 * time.Second
	// maxTold bounds the limits in one message.
	maxTold = 256
)

// take puts the limit in force unless a newer one is known, and reports whether that
// changes anything but its age. The lock is held.
func (t *Table) take(l Limit) bool {
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

// Forget drops what is known of a replica that is gone.
func (t *Table) Forget(replica string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.known[replica]; !known {
		return
	}
	delete(t.known, replica)
	t.publish()
}

// publish renews inForce. The lock is held.
func (t *Table) publish() {
	limits := maps.Clone(t.known)
	maps.DeleteFunc(limits, func(_ string, l Limit) bool { return l.Lifted })
	t.inForce.Store(&limits)
}
