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

// Nodes are the nodes that are known, this one left out. It is safe for
// concurrent use.
type Nodes struct {
	self string

	mu    sync.RWMutex
	known map[string]Node
	// seeds are peer addresses whose nodes have not answered yet.
	seeds []string
	// changes counts the changes of who serves, but for nodes that fall silent.
	changes uint64
	// failedAt is when a call of a node last found nobody there.
	failedAt map[string]boottime.Instant
}

// NewNodes returns a table that knows only the seeds' peer addresses.
func NewNodes(self string, seeds []string) *Nodes {
	return &Nodes{
		self: self, known: make(map[string]Node), seeds: seeds,
		failedAt: make(map[string]boottime.Instant),
	}
}

// SetSeeds replaces the seeds' peer addresses.
func (n *Nodes) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = seeds
}

// Take takes in what is known of a node; older news than what is known already
// change nothing. It reports whether the node was unknown or not alive before.
func (n *Nodes) Take(node Node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node.Name == "" || node.Name == n.self {
		return false
	}
	old, had := n.known[node.Name]
	if had && node.HeardAt <= old.HeardAt {
		return false
	}
	if !had && len(n.known) >= MaxNodes {
		return false
	}
	if failed, ok := n.failedAt[node.Name]; ok && node.HeardAt <= failed {
		return false
	}
	delete(n.failedAt, node.Name)
	if !had || !n.alive(old, node.HeardAt) || !old.alike(node) {
		n.changes++
	}
	node.rank = old.rank
	if !had {
		node.rank = rankOf(node.Name)
	}
	n.known[node.Name] = node
	return !had || node.HeardAt.Sub(old.HeardAt) > aliveFor
}

// Failed notes that nobody answered at the node's address at the instant.
func (n *Nodes) Failed(name string, at boottime.Instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.known[name]; known {
		n.changes++
		n.failedAt[name] = at
	}
}

// changeCount is the number of changes of who serves until now.
func (n *Nodes) changeCount() uint64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.changes
}

// Serving lists the nodes that callers may be sent to, by name.
func (n *Nodes) Serving(now boottime.Instant) []Node {
	return n.list(func(node Node) bool { return n.serves(node, now) })
}

// serves says whether callers may be sent to the node. The lock is held.
func (n *Nodes) serves(node Node, now boottime.Instant) bool {
	return n.alive(node, now) && node.Ready && !node.Leaving
}

// staying lists the nodes that were heard of lately and are not about to stop.
func (n *Nodes) staying(now boottime.Instant) []Node {
	return n.list(func(node Node) bool { return n.alive(node, now) && !node.Leaving })
}

// zoneSizes is the number of nodes of each availability zone, those included that
// were silent lately: in a fleet of hundreds a node hears of most others less than
// once a second, and all are to work out the same number of hubs.
func (n *Nodes) zoneSizes(now boottime.Instant) map[string]int {
	sizes := make(map[string]int)
	for _, node := range n.all(now) {
		sizes[node.AvailabilityZone]++
	}
	return sizes
}

// Alive lists the nodes that were heard of lately, by name.
func (n *Nodes) Alive(now boottime.Instant) []Node {
	return n.list(func(node Node) bool { return n.alive(node, now) })
}

// aliveCount is the number of nodes that were heard of lately.
func (n *Nodes) aliveCount(now boottime.Instant) int {
	n.mu.RLock()
	defer n.mu.RUnlock()
	count := 0
	for _, node := range n.known {
		if n.alive(node, now) {
			count++
		}
	}
	return count
}

// all lists the nodes that are still asked.
func (n *Nodes) all(now boottime.Instant) []Node {
	return n.list(func(node Node) bool { return now.Sub(node.HeardAt) < rememberFor })
}

// alive says whether a node was heard of lately and not found gone since. The
// lock is held.
func (n *Nodes) alive(node Node, now boottime.Instant) bool {
	if _, failed := n.failedAt[node.Name]; failed {
		return false
	}
	return now.Sub(node.HeardAt) < aliveFor
}

func (n *Nodes) list(keep func(Node) bool) []Node {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var list []Node
	for _, node := range n.known {
		if keep(node) {
			list = append(list, node)
		}
	}
	slices.SortFunc(list, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// unansweredSeeds are the seeds at whose addresses no known node is.
func (n *Nodes) unansweredSeeds(self string) []string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	answered := map[string]bool{self: true}
	for _, node := range n.known {
		answered[node.PeerAddress] = true
	}
	return slices.DeleteFunc(slices.Clone(n.seeds), func(address string) bool { return answered[address] })
}

// Suggest adds a node that may exist, to be asked: nothing is known of its
// state, and what is known of a node already stays.
func (n *Nodes) Suggest(node Node, now boottime.Instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, had := n.known[node.Name]; had || node.Name == n.self || len(n.known) >= MaxNodes {
		return
	}
	node.Ready, node.Leaving, node.rank, node.unmet = false, false, rankOf(node.Name), true
	node.HeardAt = now.Add(-aliveFor)
	n.known[node.Name] = node
}

// Count is the number of nodes that may serve, this one included: those that
// were heard of within rememberFor.
func (n *Nodes) Count(now boottime.Instant) int { return len(n.all(now)) + 1 }
