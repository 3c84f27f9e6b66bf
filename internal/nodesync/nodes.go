package nodesync

import (
	"slices"
	"strings"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
)

const (
	// MaxNodes bounds the nodes that are remembered.
	MaxNodes = 1024
	// aliveFor is how long after its last sign a node is taken to serve: some
	// five rounds of calls.
	aliveFor = 1500 * time.Millisecond
	// rememberFor is how long a silent node is still asked.
	rememberFor = 60 * time.Second
)

// record is a node and what became of the last call of it.
type record struct {
	Node
	// failed says that nobody answered at the node's address, at failedAt, and that
	// no later sign came since.
	failed   bool
	failedAt boottime.Instant
}

// alive says whether the node was heard of lately and not found gone since.
func (r *record) alive(now boottime.Instant) bool {
	return !r.failed && r.heardWithin(aliveFor, now)
}

// serves says whether callers may be sent to the node.
func (r *record) serves(now boottime.Instant) bool {
	return r.alive(now) && r.Ready && !r.Leaving
}

// stays says whether the node was heard of lately and is not about to stop.
func (r *record) stays(now boottime.Instant) bool { return r.alive(now) && !r.Leaving }

// remembered says whether the node is still asked.
func (r *record) remembered(now boottime.Instant) bool { return r.heardWithin(rememberFor, now) }

func (r *record) heardWithin(span time.Duration, now boottime.Instant) bool {
	return now.Sub(r.LastSeen) < span
}

// Nodes are the nodes that are known, this one left out. It is safe for
// concurrent use.
type Nodes struct {
	self string

	mu sync.RWMutex
	// known finds a record by the node's name; ordered has the same records by name.
	// It is kept in order: sorting hundreds of nodes for each look at them took a
	// third of a node's processor time at rest in a fleet of 300.
	known   map[string]*record
	ordered []*record
	// seeds are peer addresses whose nodes have not answered yet.
	seeds []string
	// changes counts the changes of who serves, but for nodes that fall silent.
	changes uint64
}

// NewNodes returns a table that knows only the seeds' peer addresses.
func NewNodes(self string, seeds []string) *Nodes {
	return &Nodes{self: self, known: make(map[string]*record), seeds: seeds}
}

// SetSeeds replaces the seeds' peer addresses.
func (n *Nodes) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = seeds
}

// Merge takes in what is known of a node; older news than what is known already
// change nothing. It reports whether the node was unknown or not alive before.
func (n *Nodes) Merge(node Node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node.Name == "" || node.Name == n.self {
		return false
	}
	old, had := n.known[node.Name]
	if !had {
		node.rank = rankOf(node.Name)
		return n.add(node, node.LastSeen)
	}
	if node.LastSeen <= old.LastSeen || old.failed && node.LastSeen <= old.failedAt {
		return false
	}
	if !old.alive(node.LastSeen) || !old.alike(node) {
		n.changes++
	}
	found := node.LastSeen.Sub(old.LastSeen) > aliveFor
	node.rank = old.rank
	*old = record{Node: node}
	return found
}

// add remembers a node that was not known, unless there are too many. The lock is
// held.
func (n *Nodes) add(node Node, now boottime.Instant) bool {
	if len(n.known) >= MaxNodes {
		n.forgetSilent(now)
	}
	if len(n.known) >= MaxNodes {
		return false
	}
	r := &record{Node: node}
	at, _ := slices.BinarySearchFunc(n.ordered, node.Name, func(r *record, name string) int { return strings.Compare(r.Name, name) })
	n.known[node.Name] = r
	n.ordered = slices.Insert(n.ordered, at, r)
	n.changes++
	return true
}

// forgetSilent makes room for nodes that are new where VMs are replaced for weeks.
// The lock is held.
func (n *Nodes) forgetSilent(now boottime.Instant) {
	n.ordered = slices.DeleteFunc(n.ordered, func(r *record) bool {
		if r.remembered(now) {
			return false
		}
		delete(n.known, r.Name)
		return true
	})
}

// MarkFailed notes that nobody answered at the node's address at the instant.
func (n *Nodes) MarkFailed(name string, at boottime.Instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, known := n.known[name]; known {
		n.changes++
		r.failed, r.failedAt = true, at
	}
}

// changeCount is the number of changes of who serves until now.
func (n *Nodes) changeCount() uint64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.changes
}

// visit shows each record, by the nodes' names. The records are not to be kept or
// changed.
func (n *Nodes) visit(see func(*record)) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for _, r := range n.ordered {
		see(r)
	}
}

// list is the nodes that keep accepts, by name.
func (n *Nodes) list(keep func(*record) bool) []Node {
	var list []Node
	n.visit(func(r *record) {
		if keep(r) {
			list = append(list, r.Node)
		}
	})
	return list
}

// count is the number of nodes that keep accepts.
func (n *Nodes) count(keep func(*record) bool) int {
	count := 0
	n.visit(func(r *record) {
		if keep(r) {
			count++
		}
	})
	return count
}

// draw is up to most of the nodes that keep accepts, each with the same chance; intN
// returns a random number below its argument.
func (n *Nodes) draw(most int, intN func(int) int, keep func(*record) bool) []Node {
	if most <= 0 {
		return nil
	}
	drawn := make([]Node, 0, most)
	seen := 0
	n.visit(func(r *record) {
		if !keep(r) {
			return
		}
		seen++
		if len(drawn) < most {
			drawn = append(drawn, r.Node)
		} else if at := intN(seen); at < most {
			drawn[at] = r.Node
		}
	})
	return drawn
}

// Serving lists the nodes that callers may be sent to, by name.
func (n *Nodes) Serving(now boottime.Instant) []Node {
	return n.list(func(r *record) bool { return r.serves(now) })
}

// Alive lists the nodes that were heard of lately, by name.
func (n *Nodes) Alive(now boottime.Instant) []Node {
	return n.list(func(r *record) bool { return r.alive(now) })
}

// SeenWithin lists the nodes that were heard of within the time, by name.
func (n *Nodes) SeenWithin(span time.Duration, now boottime.Instant) []Node {
	return n.list(func(r *record) bool { return r.heardWithin(span, now) })
}

// HasDutyHolder says whether a node that was heard of lately holds the fleet's duties.
func (n *Nodes) HasDutyHolder(now boottime.Instant) bool {
	return n.count(func(r *record) bool { return r.DutyFence != 0 && r.alive(now) }) > 0
}

// AliveCount is the number of nodes that were heard of lately.
func (n *Nodes) AliveCount(now boottime.Instant) int {
	return n.count(func(r *record) bool { return r.alive(now) })
}

// KnownCount is the number of nodes that may serve, this one included: those that
// were heard of within rememberFor.
func (n *Nodes) KnownCount(now boottime.Instant) int {
	return n.count(func(r *record) bool { return r.remembered(now) }) + 1
}

// unansweredSeeds are the seeds at whose addresses no node was heard of for long.
func (n *Nodes) unansweredSeeds(self string, now boottime.Instant) []string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return slices.DeleteFunc(slices.Clone(n.seeds), func(address string) bool {
		return address == self || slices.ContainsFunc(n.ordered, func(r *record) bool {
			return r.PeerAddress == address && r.remembered(now)
		})
	})
}

// AddCandidate adds a node that may exist, to be asked: nothing is known of its
// state, and what is known of a node already stays. One that was silent for long is
// asked again: after a long partition nobody else would begin.
func (n *Nodes) AddCandidate(node Node, now boottime.Instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, had := n.known[node.Name]
	if had && old.remembered(now) || node.Name == n.self {
		return
	}
	node.Ready, node.Leaving, node.rank, node.unmet = false, false, rankOf(node.Name), true
	node.LastSeen = now.Add(-aliveFor)
	if had {
		*old = record{Node: node}
		return
	}
	n.add(node, now)
}
