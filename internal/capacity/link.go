package capacity

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/peer"
)

// countingListener counts the bytes of its connections, both ways.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func newCountingListener() (*countingListener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: listener}, nil
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// peerLink is both ends of a link between two nodes, without keys.
type peerLink struct {
	listener *countingListener
	server   *peer.Server
	clients  *peer.Clients
}

// newPeerLink serves the handler on loopback.
func newPeerLink(path string, handler http.Handler) (*peerLink, error) {
	keys, err := peer.NewKeys(peer.KeyFiles{}, prometheus.NewRegistry())
	if err != nil {
		return nil, err
	}
	listener, err := newCountingListener()
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
