package edge

import (
	"net/http"
	"slices"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/nodesync"
)

// maxReadyProofAge is the maximum time since the configuration was last proven to be the
// newest, up to which a node is ready. With an older proof it may soon have to refuse
// requests that carry keys.
const maxReadyProofAge = 2500 * time.Millisecond

// Ready reports whether callers should be sent to this node.
func (n *Node) Ready() bool {
	snapshot := n.routes.Get()
	if snapshot.Table == nil || !n.replicas.HasListing() || n.leaving.Load() {
		return false
	}
	return snapshot.Age(n.options.Clock()) < maxReadyProofAge
}

// discoveryHandler serves the readiness and resolve endpoints.
func (n *Node) discoveryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.options.Wire.ReadyPath(), n.handleReady)
	mux.HandleFunc("GET "+n.options.Wire.ResolvePath(), n.handleResolve)
	return mux
}

func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// handleResolve responds with the entry addresses that the caller should use.
func (n *Node) handleResolve(w http.ResponseWriter, r *http.Request) {
	addresses := n.entryAddresses(n.options.Wire.CallerZone(r))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := n.options.Wire.WriteResolve(w, addresses, n.settings.Load().PassThrough.ResolveTTL.Std()); err != nil {
		n.log.Error("answer resolve", err)
	}
}

// maxAddresses is the maximum number of addresses that callers accept.
const maxAddresses = 64

// entryAddresses returns the addresses of the ready nodes, or of the live ones if none is
// ready. In a fleet above maxAddresses, callers get nodes of their own availability zone,
// which spreads the load and avoids traffic across zones: the first nodes by name took all the load
// of a fleet of 295 nodes, most of it across zones.
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

// alive returns this node and the live ones that are not leaving, ready or not.
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
