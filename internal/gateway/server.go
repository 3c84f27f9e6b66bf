package gateway

import (
	"net/http"
	"sync/atomic"

	"galenatrestle/internal/answer"
)

// Server answers callers. It is safe for concurrent use.
type Server struct {
	options  Options
	metrics  *metrics
	guard    *guard
	mux      *http.ServeMux
	draining atomic.Bool
}

// New returns a server; its options must be complete.
func New(options Options) *Server {
	options = options.withDefaults()
	if options.Ledger == nil {
		options.Ledger = noLedger{}
	}
	s := &Server{
		options: options,
		metrics: newMetrics(options.Registry),
		guard:   newGuard(options),
		mux:     http.NewServeMux(),
	}
	s.mux.HandleFunc("POST "+pathChat, s.completeChat)
	s.mux.HandleFunc("POST "+pathText, s.completeText)
	s.mux.HandleFunc("GET "+pathModels, s.models)
	s.mux.HandleFunc("GET "+pathEntries, s.entries)
	s.mux.HandleFunc("GET /requests/{id}", s.getAnswer)
	s.mux.HandleFunc("GET /requests/{id}/stream", s.followAnswer)
	s.mux.HandleFunc("/services/{upstream}/{path...}", s.service)
	s.mux.HandleFunc("/", s.noEndpoint)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	freshDeadlines(w)
	s.mux.ServeHTTP(w, r)
}

// Drain makes the server refuse new requests as not run; those in flight go on.
func (s *Server) Drain() { s.draining.Store(true) }

// newID names a request and the node that has it.
func (s *Server) newID() string {
	return answer.NewRequestID(s.options.Node)
}
