package edge

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"galenatrestle/internal/httplimits"
)

const (
	// headerTimeout bounds reading a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes idle client connections. It is longer than any configuration allows
	// callers to keep an idle connection for reuse.
	idleTimeout = 2 * time.Minute
)

// listen opens all listeners, so that an address in use fails the start.
func (n *Node) listen() error {
	s := n.options.Settings
	discovery := n.discoveryHandler()
	n.callers = newCallerServer(n.handler)
	listeners := []struct {
		field, address string
		serve          func(net.Listener) error
	}{
		{"listen", s.Listen, n.callers.Serve},
		{"peer_listen", s.PeerListen, n.peers.Serve},
		{"ops_listen", s.OpsListen, newHTTPServer(n.opsHandler()).Serve},
		{"pass_through.ready_listen", s.PassThrough.ReadyListen, newHTTPServer(discovery).Serve},
		{"pass_through.resolve_listen", s.PassThrough.ResolveListen, newHTTPServer(discovery).Serve},
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
	n.entryAddress = n.advertisedAddress(s.Advertise.Entry, "listen")
	n.peerAddress = n.advertisedAddress(s.Advertise.Peer, "peer_listen")
	return nil
}

// advertisedAddress returns the configured address, or the listener's if its port is 0.
func (n *Node) advertisedAddress(address, field string) string {
	if !strings.HasSuffix(address, ":0") {
		return address
	}
	return n.address(field)
}

// address returns the address of the listener for a settings field, or "" if there is none.
func (n *Node) address(field string) string {
	for _, s := range n.servers {
		if s.field == field {
			return s.listener.Addr().String()
		}
	}
	return ""
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: httplimits.HeadBytes}
}

func (n *Node) opsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	return mux
}
