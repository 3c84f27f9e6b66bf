package edge

import (
	"net/http"
	"time"
)

// readyAge is the age of the configuration's proof up to which a node is ready.
// Past it, it may soon have to refuse the requests that carry keys.
const readyAge = 2500 * time.Millisecond

// Ready says whether callers should be sent here.
func (n *Node) Ready() bool {
	snapshot := n.routes.Get()
	if snapshot.Table == nil || !n.replicas.Known() || n.leaving.Load() {
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

// answerResolve tells callers which addresses to use: those of the nodes that
// serve, or where none is known to, of those that are alive.
func (n *Node) answerResolve(w http.ResponseWriter, _ *http.Request) {
	addresses := n.entryAddresses()
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

func (n *Node) entryAddresses() []string {
	now := n.options.Clock()
	var addresses []string
	if n.Ready() {
		addresses = append(addresses, n.entryAddress)
	}
	for _, node := range n.nodes.Serving(now) {
		addresses = append(addresses, node.EntryAddress)
	}
	if len(addresses) > 0 {
		return addresses[:min(len(addresses), maxAddresses)]
	}
	if !n.leaving.Load() {
		addresses = append(addresses, n.entryAddress)
	}
	for _, node := range n.nodes.Alive(now) {
		if !node.Leaving {
			addresses = append(addresses, node.EntryAddress)
		}
	}
	return addresses[:min(len(addresses), maxAddresses)]
}
