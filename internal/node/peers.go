package node

import (
	"galenatrestle/internal/peer"
)

// peers is the node's link to the other nodes.
type peers struct {
	server  *peer.Server
	clients *peer.Clients
}

// newPeers returns a link that does not serve yet.
func newPeers(options Options) *peers {
	keys := options.PeerKeys
	if keys == nil {
		// Without files there is nothing that could fail.
		keys, _ = peer.NewKeys(peer.KeyFiles{}, options.Registry)
	}
	return &peers{
		server:  peer.NewServer(keys, options.Registry),
		clients: peer.NewClients(keys, peer.Settings{}, options.Registry),
	}
}

// close ends the connections to the other nodes.
func (p *peers) close() { p.clients.Close() }

// servePeers answers the other nodes.
func (n *Node) servePeers() {
	if n.options.Peer == nil {
		return
	}
	go func() {
		if err := n.peers.server.Serve(n.options.Peer); err != nil {
			n.options.Log.WithError(err).WithField("step", "serve peer").Error("listener failed")
		}
	}()
}
