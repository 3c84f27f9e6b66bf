package peer

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/httplimits"
)

// Health of idle connections: a peer that vanished is noticed by a ping.
const (
	pingAfter   = 15 * time.Second
	pingTimeout = 5 * time.Second
)

// transport adds step and peer to the errors of an HTTP transport.
type transport struct {
	next     http.RoundTripper
	address  string
	failures *prometheus.CounterVec
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	if err != nil {
		t.failures.WithLabelValues(service(r.URL.Path)).Inc()
		return nil, errs.Wrap(errs.Peer, err, "call peer "+r.URL.Path, t.address)
	}
	return response, nil
}

// service returns the first segment of a path, which bounds the counter's
// labels where paths carry request ids.
func service(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return first
}

func (c *Clients) newClient(address string, generation int64) *client {
	dialer := &net.Dialer{Timeout: c.settings.DialTimeout}
	var protocols http.Protocols
	protocols.SetHTTP2(c.keys.Enabled())
	protocols.SetUnencryptedHTTP2(!c.keys.Enabled())
	next := &http.Transport{
		DialContext:            dialer.DialContext,
		TLSHandshakeTimeout:    c.settings.DialTimeout,
		ResponseHeaderTimeout:  c.settings.HeaderTimeout,
		MaxConnsPerHost:        c.settings.MaxConnections,
		IdleConnTimeout:        c.settings.IdleTimeout,
		MaxResponseHeaderBytes: httplimits.HeadBytes,
		Protocols:              &protocols,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	if c.keys.Enabled() {
		next.TLSClientConfig = c.keys.clientTLS()
	}
	return &client{
		http:       &http.Client{Transport: &transport{next: next, address: address, failures: c.failures}},
		transport:  next,
		generation: generation,
	}
}
