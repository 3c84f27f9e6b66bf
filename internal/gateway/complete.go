package gateway

import (
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
	w.Header().Set(headerRequestID, c.id)
	body, err := readBody(c, w, r)
	if err != nil {
		s.refuseCall(w, c, err)
		return
	}
	p, err := parseCompletion(c, path, body)
	if err != nil {
		s.refuseCall(w, c, err)
		return
	}
	if s.elsewhere(w, r, c, p.upstream.Name, body) {
		return
	}
	use, err := s.useQuota(c, p)
	if err != nil {
		s.refuseCall(w, c, err)
		return
	}
	e := &exchange{server: s, call: c, completion: p}
	e.elsewhere = func() bool { return s.elsewhere(w, r, c, p.upstream.Name, body) }
	defer func() { use.settle(e) }()
	e.sink = e.sinkFor(w)
	e.open()
	ctx, cancel := e.linger(r)
	defer cancel()
	e.run(ctx)
}

func (e *exchange) sinkFor(w http.ResponseWriter) sink {
	p := e.completion
	out := outlet{server: e.server, w: w, prepare: e.prepare, keep: e.keep}
	switch {
	case p.opaque:
		return &opaqueSink{outlet: out, streamed: p.request.Stream}
	case p.request.Stream:
		return newStreamSink(out)
	default:
		return &wholeSink{outlet: out, chat: p.path == pathChat}
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
