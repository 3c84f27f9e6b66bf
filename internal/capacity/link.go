package capacity

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/bytecount"
	"galenatrestle/internal/peer"
)

// peerLink is both ends of a link between two nodes, without keys.
type peerLink struct {
	listener *bytecount.Listener
	server   *peer.Server
	clients  *peer.Clients
}

// newPeerLink serves the handler on loopback.
func newPeerLink(path string, handler http.Handler) (*peerLink, error) {
	keys, err := peer.NewKeys(peer.KeyFiles{}, prometheus.NewRegistry())
	if err != nil {
		return nil, err
	}
	listener, err := bytecount.Listen()
	if err != nil {
		return nil, err
	}
	link := &peerLink{
		listener: listener,
		server:   peer.NewServer(keys, prometheus.NewRegistry()),
		clients:  peer.NewClients(keys, peer.Settings{}, prometheus.NewRegistry()),
	}
	link.server.Mount(path, handler)
	go func() { _ = link.server.Serve(listener) }()
	return link, nil
}

func (l *peerLink) address() string { return l.listener.Addr().String() }

func (l *peerLink) close() {
	l.clients.Close()
	_ = l.server.Close()
}
