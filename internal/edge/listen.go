package edge

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may be idle: longer than
	// any configuration lets callers use one.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 64 << 10
)

// listen opens all listeners, so that an address in use is told at the start.
func (n *Node) listen() error {
	s := n.options.Settings
	answers := n.questions()
	listeners := []struct {
		field, address string
		serve          func(net.Listener) error
	}{
		{"listen", s.Listen, serveWith(n.handler)},
		{"peer_listen", s.PeerListen, n.peers.Serve},
		{"ops_listen", s.OpsListen, serveWith(n.opsHandler())},
		{"pass_through.ready_listen", s.PassThrough.ReadyListen, serveWith(answers)},
		{"pass_through.resolve_listen", s.PassThrough.ResolveListen, serveWith(answers)},
	}
	opened := make(map[string]bool)
	for _, l := range listeners {
		if l.address == "" || opened[l.address] {
			continue
		}
		opened[l.address] = !strings.HasSuffix(l.address, ":0")
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("settings field %s, value %q: %w", l.field, l.address, err)
		}
		n.servers = append(n.servers, &server{field: l.field, listener: listener, serve: l.serve})
	}
	n.entryAddress = n.advertised(s.Advertise.Entry, "listen")
	n.peerAddress = n.advertised(s.Advertise.Peer, "peer_listen")
	return nil
}

// advertised is the address that others are told: the one of the settings, or
// where that leaves the port to the system, the listener's.
func (n *Node) advertised(address, field string) string {
	if !strings.HasSuffix(address, ":0") {
		return address
	}
	return n.address(field)
}

// address is where the listener of the settings' field is; empty for none.
func (n *Node) address(field string) string {
	for _, s := range n.servers {
		if s.field == field {
			return s.listener.Addr().String()
		}
	}
	return ""
}

func serveWith(handler http.Handler) func(net.Listener) error {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	return s.Serve
}

func (n *Node) opsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	return mux
}
