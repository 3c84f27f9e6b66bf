package gateway

import (
	"context"
	"net/http"
	"strconv"
)

// completeChat answers POST /v1/chat/completions.
func (s *Server) completeChat(w http.ResponseWriter, r *http.Request) {
	s.complete(w, r, pathChat)
}

// completeText answers POST /v1/completions.
func (s *Server) completeText(w http.ResponseWriter, r *http.Request) {
	s.complete(w, r, pathText)
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request, path string) {
	c, err := s.check(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	body, err := readBody(c, w, r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	p, err := parseCompletion(c, path, body)
	if err != nil {
		w.Header().Set(headerRequestID, c.id)
		s.refuse(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.giveUpAt)
	defer cancel()
	e := &exchange{server: s, call: c, completion: p}
	e.sink = s.sinkFor(w, p, e.prepare)
	e.run(ctx)
}

func (s *Server) sinkFor(w http.ResponseWriter, p *completion, prepare func(http.Header)) sink {
	switch {
	case p.opaque:
		return &opaqueSink{server: s, w: w, prepare: prepare, streamed: p.request.Stream}
	case p.request.Stream:
		return newStreamSink(s, w, prepare)
	default:
		return newWholeSink(s, w, p.path == pathChat, prepare)
	}
}

// prepare sets the headers that tell how the answer came about.
func (e *exchange) prepare(header http.Header) {
	header.Set(headerRequestID, e.call.id)
	header.Set(headerAttempts, strconv.Itoa(e.attempts))
	if e.replica != "" {
		header.Set(headerUpstream, e.completion.upstream.Name+"/"+e.replica)
	}
}
