package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"galenatrestle/internal/refusal"
)

// streamSink sends an answer as server-sent events.
type streamSink struct {
	server *Server
	w      http.ResponseWriter
	flush  *http.ResponseController
	// prepare sets the response's headers before the first byte.
	prepare func(http.Header)
	events  int
	buffer  []byte
}

func newStreamSink(s *Server, w http.ResponseWriter, prepare func(http.Header)) *streamSink {
	return &streamSink{server: s, w: w, flush: http.NewResponseController(w), prepare: prepare}
}

func (s *streamSink) begun() bool { return s.events > 0 }

func (s *streamSink) chunk(data []byte) error {
	s.start()
	s.events++
	s.buffer = append(s.buffer[:0], "id: "...)
	s.buffer = strconv.AppendInt(s.buffer, int64(s.events), 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	return s.send()
}

// start writes the headers once.
func (s *streamSink) start() {
	if s.events > 0 {
		return
	}
	header := s.w.Header()
	header.Set(headerType, typeEventStream)
	header.Set("Cache-Control", "no-cache")
	s.prepare(header)
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) send() error {
	if _, err := s.w.Write(s.buffer); err != nil {
		return err
	}
	return s.flush.Flush()
}

// reset does nothing: what was sent cannot be taken back.
func (s *streamSink) reset() {}

func (s *streamSink) end() error {
	s.start()
	s.buffer = append(s.buffer[:0], "data: [DONE]\n\n"...)
	return s.send()
}

// fail sends an error event and no [DONE]; before the first byte it is an
// ordinary refusal.
func (s *streamSink) fail(refused *refusal.Error) {
	if !s.begun() {
		s.prepare(s.w.Header())
		s.server.refuse(s.w, refused)
		return
	}
	s.server.metrics.refused(refused)
	body, err := json.Marshal(errorBody(refused))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.buffer = append(s.buffer[:0], "event: error\ndata: "...)
	s.buffer = append(s.buffer, body...)
	s.buffer = append(s.buffer, "\n\n"...)
	_ = s.send()
}
