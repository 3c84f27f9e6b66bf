package peer

import (
	"context"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/httplimits"
)

// Limits of the listener.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 5 * time.Minute
	maxStreams        = 1000
)

const stepServe = "serve peers"

// Server is a node's listener for its peers.
type Server struct {
	keys    *Keys
	mux     *http.ServeMux
	http    *http.Server
	refused *prometheus.CounterVec
}

// connectionKey finds a connection's verified generation in its context.
type connectionKey struct{}

// NewServer returns a listener that is not yet serving.
func NewServer(keys *Keys, registerer prometheus.Registerer) *Server {
	s := &Server{
		keys:    keys,
		mux:     http.NewServeMux(),
		refused: newRefusedCounter(registerer),
	}
	var protocols http.Protocols
	protocols.SetHTTP2(keys.Enabled())
	protocols.SetUnencryptedHTTP2(!keys.Enabled())
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.handle),
		Protocols:         &protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    httplimits.HeadBytes,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, new(atomic.Int64))
		},
	}
	if keys.Enabled() {
		s.http.TLSConfig = keys.serverTLS(s.countRefused)
	}
	return s
}

// Mount adds a handler under the path, as connect's generated constructors
// return them. It is called before Serve.
func (s *Server) Mount(path string, handler http.Handler) {
	s.mux.Handle(path, handler)
}

// Serve takes connections until Shutdown or Close, after which it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	var err error
	if s.keys.Enabled() {
		err = s.http.ServeTLS(listener, "", "")
	} else {
		err = s.http.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errs.Wrap(errs.Peer, err, stepServe, listener.Addr().String())
}

// Shutdown stops taking connections and waits until the calls in flight have
// ended or ctx has.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close ends the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if err := s.check(r); err != nil {
		s.countRefused(err)
		http.Error(w, "peer refused: "+err.Error(), http.StatusForbidden)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// check verifies an open connection's peer again after the keys have changed,
// so that an authority that was taken out is refused at once.
func (s *Server) check(r *http.Request) error {
	if !s.keys.Enabled() {
		return nil
	}
	current := s.keys.current.Load()
	verified, ok := r.Context().Value(connectionKey{}).(*atomic.Int64)
	if ok && verified.Load() == current.generation {
		return nil
	}
	if r.TLS == nil {
		return errNoCertificate
	}
	if err := current.verify(r.TLS.PeerCertificates, x509.ExtKeyUsageClientAuth); err != nil {
		return err
	}
	if ok {
		verified.Store(current.generation)
	}
	return nil
}

func (s *Server) countRefused(err error) {
	s.refused.WithLabelValues(refusedReason(err)).Inc()
}
