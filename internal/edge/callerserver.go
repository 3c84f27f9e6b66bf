package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"galenatrestle/internal/ctxtime"
)

// callerServer serves callers' requests. Unlike http.Server.Shutdown, its Close answers requests that are read
// after it began.
type callerServer struct {
	http *http.Server
	// open is the number of connections.
	open atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	// served is closed when no further connection is taken.
	served chan struct{}
}

func newCallerServer(handler http.Handler) *callerServer {
	s := &callerServer{http: newHTTPServer(handler), served: make(chan struct{})}
	s.http.ConnState = s.count
	return s
}

func (s *callerServer) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// Serve serves on the listener until Close.
func (s *callerServer) Serve(l net.Listener) error {
	defer close(s.served)
	if tcp, ok := l.(*net.TCPListener); ok {
		l = newCallerListener(tcp)
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	if err := s.http.Serve(l); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// closePollInterval is the interval at which Close looks for open connections.
const closePollInterval = 5 * time.Millisecond

// Close takes no more connections, and returns when the requests on open ones are answered or ctx ends.
func (s *callerServer) Close(ctx context.Context) error {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return nil
	}
	if err := listener.Close(); err != nil {
		return err
	}
	<-s.served
	// Closes the idle connections, and the others after their next response.
	s.http.SetKeepAlivesEnabled(false)
	for s.open.Load() > 0 {
		if err := ctxtime.Sleep(ctx, closePollInterval); err != nil {
			return err
		}
	}
	return nil
}
