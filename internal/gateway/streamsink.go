package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"galenatrestle/internal/refusal"
)

// errCallerLost says that the caller's connection broke before.
var errCallerLost = errors.New("the caller's connection is broken")

// streamSink sends an answer as server-sent events.
type streamSink struct {
	outlet
	control *http.ResponseController
	// after is the id of the event before the first one sent here.
	after  int64
	events int64
	buffer []byte
	// lost says that the caller's connection is broken: the answer goes on
	// without it, as long as the attempts' context lets it.
	lost bool
	// deadline is the connection's write deadline.
	deadline time.Time
}

func newStreamSink(out outlet) *streamSink {
	return &streamSink{outlet: out, control: http.NewResponseController(out.w)}
}

func (s *streamSink) begun() bool { return s.events > 0 }

func (s *streamSink) chunk(data []byte) error {
	s.start()
	s.events++
	s.keep(data)
	s.buffer = append(s.buffer[:0], "id: "...)
	s.buffer = strconv.AppendInt(s.buffer, s.after+s.events, 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	s.lost = s.lost || s.send() != nil
	return nil
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

// send writes the buffer, unless the connection is broken.
func (s *streamSink) send() error {
	if s.lost {
		return errCallerLost
	}
	s.extendDeadline()
	if _, err := s.w.Write(s.buffer); err != nil {
		return err
	}
	return s.control.Flush()
}

// extendDeadline gives the caller at least half of slowCaller, and rarely costs
// more than a look at the clock. Where a connection has no deadlines a slow
// caller is not bounded.
func (s *streamSink) extendDeadline() {
	now := time.Now()
	if s.deadline.Sub(now) > slowCaller/2 {
		return
	}
	s.deadline = now.Add(slowCaller)
	_ = s.control.SetWriteDeadline(s.deadline)
}

// release takes the deadline off the connection, for its next request.
func (s *streamSink) release() { _ = s.control.SetWriteDeadline(time.Time{}) }

// broken returns an error where the caller's connection is broken.
func (s *streamSink) broken() error {
	if s.lost {
		return errCallerLost
	}
	return nil
}

// reset does nothing: what was sent cannot be taken back.
func (s *streamSink) reset() {}

func (s *streamSink) end() error {
	defer s.release()
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
	defer s.release()
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
