package nodesync

import (
	"slices"
	"strings"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
)

const (
	// MaxNodes bounds the node table. A record takes about 300 bytes. Nodes that do not fit are
	// not counted, so that nodes would compute different numbers of hubs.
	MaxNodes = 8192
	// aliveTimeout is how long a node counts as alive after it was last seen: about
	// seven rounds.
	aliveTimeout = 1500 * time.Millisecond
	// retentionTime is how long a silent node is still called.
	retentionTime = 60 * time.Second
)

// record is a node and the outcome of the last call to it.
type record struct {
	Node
	// failed means that a call that started at failedAt failed, and that the node has
	// not been seen since.
	failed   bool
	failedAt boottime.Instant
}

// alive reports whether the node was seen within aliveTimeout and no call to it has
// failed since.
func (r *record) alive(now boottime.Instant) bool {
	return !r.failed && r.seenWithin(aliveTimeout, now)
}

func (r *record) serving(now boottime.Instant) bool {
	return r.alive(now) && r.Ready && !r.Leaving
}

func (r *record) active(now boottime.Instant) bool { return r.alive(now) && !r.Leaving }

// retained reports whether the node is still called.
func (r *record) retained(now boottime.Instant) bool { return r.seenWithin(retentionTime, now) }

func (r *record) seenWithin(span time.Duration, now boottime.Instant) bool {
	return now.Sub(r.LastSeen) < span
}

// Nodes is the table of the known nodes except this one. It is safe for concurrent use.
type Nodes struct {
	self string

	mu sync.RWMutex
	// byName and sorted have the same records. sorted is kept in order to avoid sorting
	// hundreds of nodes for each read.
	byName map[string]*record
	sorted []*record
	// seeds are configured peer addresses.
	seeds []string
	// changes counts changes of node states, except nodes that became silent.
	changes uint64
}

// NewNodes returns a table that has only the peer addresses of seeds.
func NewNodes(self string, seeds []string) *Nodes {
	return &Nodes{self: self, byName: make(map[string]*record), seeds: seeds}
}

// SetSeeds replaces the peer addresses of seeds.
func (n *Nodes) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = seeds
}

// Merge merges the state of a node unless newer state is already known. It reports
// whether the node was unknown or had been silent.
func (n *Nodes) Merge(node Node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node.Name == "" || node.Name == n.self {
		return false
	}
	old, known := n.byName[node.Name]
	if !known {
		node.rank = hashRank(node.Name)
		return n.add(node, node.LastSeen)
	}
	if node.LastSeen <= old.LastSeen || old.failed && node.LastSeen <= old.failedAt {
		return false
	}
	if !old.alive(node.LastSeen) || !old.sameState(node) {
		n.changes++
	}
	wasSilent := node.LastSeen.Sub(old.LastSeen) > silenceThreshold(len(n.byName))
	node.rank = old.rank
	*old = record{Node: node}
	return wasSilent
}

// add inserts an unknown node unless the table is full. The caller holds the lock.
func (n *Nodes) add(node Node, now boottime.Instant) bool {
	if len(n.byName) >= MaxNodes {
		n.evictSilent(now)
	}
	if len(n.byName) >= MaxNodes {
		return false
	}
	r := &record{Node: node}
	at, _ := slices.BinarySearchFunc(n.sorted, node.Name, func(r *record, name string) int { return strings.Compare(r.Name, name) })
	n.byName[node.Name] = r
	n.sorted = slices.Insert(n.sorted, at, r)
	n.changes++
	return true
}

// evictSilent removes the nodes that are no longer retained. The caller holds the lock.
func (n *Nodes) evictSilent(now boottime.Instant) {
	n.sorted = slices.DeleteFunc(n.sorted, func(r *record) bool {
		if r.retained(now) {
			return false
		}
		delete(n.byName, r.Name)
		return true
	})
}

// MarkFailed records that a call to the node, started at the given instant, failed.
func (n *Nodes) MarkFailed(name string, at boottime.Instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, known := n.byName[name]; known {
		n.changes++
		r.failed, r.failedAt = true, at
	}
}

func (n *Nodes) changeCount() uint64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.changes
}

// visit calls f for each record in the order of names, under the read lock. f must not
// keep or modify the record.
func (n *Nodes) visit(f func(*record)) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for _, r := range n.sorted {
		f(r)
	}
}

// is reports whether the node is known and accepted.
func (n *Nodes) is(name string, accept func(*record) bool) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	r, known := n.byName[name]
	return known && accept(r)
}

func (n *Nodes) list(keep func(*record) bool) []Node {
	var list []Node
	n.visit(func(r *record) {
		if keep(r) {
			list = append(list, r.Node)
		}
	})
	return list
}

func (n *Nodes) count(keep func(*record) bool) int {
	count := 0
	n.visit(func(r *record) {
		if keep(r) {
			count++
		}
	})
	return count
}

// sample returns a uniform random sample of up to limit nodes that keep accepts.
func (n *Nodes) sample(limit int, intN func(int) int, keep func(*record) bool) []Node {
	if limit <= 0 {
		return nil
	}
	sampled := make([]Node, 0, limit)
	seen := 0
	n.visit(func(r *record) {
		if !keep(r) {
			return
		}
		seen++
		if len(sampled) < limit {
			sampled = append(sampled, r.Node)
		} else if at := intN(seen); at < limit {
			sampled[at] = r.Node
		}
	})
	return sampled
}

// Serving returns the nodes that callers may be sent to, ordered by name.
func (n *Nodes) Serving(now boottime.Instant) []Node {
	return n.list(func(r *record) bool { return r.serving(now) })
}

// HasServing reports whether a node serves callers.
func (n *Nodes) HasServing(now boottime.Instant) bool {
	return n.count(func(r *record) bool { return r.serving(now) }) > 0
}

// SampleReady returns a uniform random sample of up to limit nodes that are alive and ready, or
// leaving.
func (n *Nodes) SampleReady(limit int, intN func(int) int, now boottime.Instant) []Node {
	return n.sample(limit, intN, func(r *record) bool { return r.alive(now) && (r.Ready || r.Leaving) })
}

// Alive returns the nodes that count as alive, ordered by name.
func (n *Nodes) Alive(now boottime.Instant) []Node {
	return n.list(func(r *record) bool { return r.alive(now) })
}

// SeenWithin returns the nodes that were seen within the time span, ordered by name.
func (n *Nodes) SeenWithin(span time.Duration, now boottime.Instant) []Node {
	return n.list(func(r *record) bool { return r.seenWithin(span, now) })
}

// IsLeaving reports whether the named node has said that it stops.
func (n *Nodes) IsLeaving(name string) bool {
	return n.is(name, func(r *record) bool { return r.Leaving })
}

// HasDutyHolder reports whether a node that is alive has the fleet duties.
func (n *Nodes) HasDutyHolder(now boottime.Instant) bool {
	return n.count(func(r *record) bool { return r.DutyFence != 0 && r.alive(now) }) > 0
}

// AliveCount returns the number of nodes that count as alive.
func (n *Nodes) AliveCount(now boottime.Instant) int {
	return n.count(func(r *record) bool { return r.alive(now) })
}

// KnownCount returns the number of nodes that were seen within retentionTime, plus one
// for this node.
func (n *Nodes) KnownCount(now boottime.Instant) int {
	return n.count(func(r *record) bool { return r.retained(now) }) + 1
}

// unansweredSeeds returns the seeds at whose addresses no node was seen within
// retentionTime.
func (n *Nodes) unansweredSeeds(self string, now boottime.Instant) []string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return slices.DeleteFunc(slices.Clone(n.seeds), func(address string) bool {
		return address == self || slices.ContainsFunc(n.sorted, func(r *record) bool {
			return r.PeerAddress == address && r.retained(now)
		})
	})
}

// AddCandidate adds a node that may exist, so that it is called. It leaves a retained
// node as it is; one that was silent for longer is called again, so that the sides of a
// long partition reconnect.
func (n *Nodes) AddCandidate(node Node, now boottime.Instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, known := n.byName[node.Name]
	if known && old.retained(now) || node.Name == n.self {
		return
	}
	node.Ready, node.Leaving, node.rank, node.candidate = false, false, hashRank(node.Name), true
	node.LastSeen = now.Add(-aliveTimeout)
	if known {
		*old = record{Node: node}
		return
	}
	n.add(node, now)
}
