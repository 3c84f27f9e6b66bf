package edge

import (
	"net/http"
	"slices"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/nodesync"
)

// readyAge is the age of the configuration's proof up to which a node is ready.
// Past it, it may soon have to refuse the requests that carry keys.
const readyAge = 2500 * time.Millisecond

// Ready says whether callers should be sent here.
func (n *Node) Ready() bool {
	snapshot := n.routes.Get()
	if snapshot.Table == nil || !n.replicas.HasListing() || n.leaving.Load() {
		return false
	}
	return snapshot.Age(n.options.Clock()) < readyAge
}

// questions answers the platform's and callers' questions.
func (n *Node) questions() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.options.Wire.ReadyPath(), n.answerReady)
	mux.HandleFunc("GET "+n.options.Wire.ResolvePath(), n.answerResolve)
	return mux
}

func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// answerResolve tells callers which addresses to use.
func (n *Node) answerResolve(w http.ResponseWriter, r *http.Request) {
	addresses := n.entryAddresses(n.options.Wire.CallerZone(r))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := n.options.Wire.WriteResolve(w, addresses, n.settings.Load().PassThrough.ResolveTTL.Std()); err != nil {
		n.log.Error("answer resolve", err)
	}
}

// maxAddresses is the most that callers take.
const maxAddresses = 64

// entryAddresses are those of the nodes that serve, or where none is known to, of
// those that are alive. In a fleet that is too large to be told whole, callers of each
// availability zone are told some of their own: the first ones by name took all the
// load of a fleet of 295 nodes, most of it across zones.
func (n *Node) entryAddresses(zone string) []string {
	now := n.options.Clock()
	serving := n.nodes.Serving(now)
	if n.Ready() {
		serving = append(serving, n.self())
	}
	if len(serving) > maxAddresses {
		serving = n.sync.EntryNodes(zone)
	}
	if len(serving) == 0 {
		serving = n.alive(now)
	}
	return entryAddressesOf(serving)
}

// alive is the nodes that may serve though none tells that it does.
func (n *Node) alive(now boottime.Instant) []nodesync.Node {
	alive := slices.DeleteFunc(n.nodes.Alive(now), func(node nodesync.Node) bool { return node.Leaving })
	if !n.leaving.Load() {
		alive = append([]nodesync.Node{n.self()}, alive...)
	}
	return alive
}

func entryAddressesOf(nodes []nodesync.Node) []string {
	addresses := make([]string, 0, len(nodes))
	for _, n := range nodes[:min(len(nodes), maxAddresses)] {
		addresses = append(addresses, n.EntryAddress)
	}
	return addresses
}
