package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

// The marks of an engine's server-sent events.
var (
	dataPrefix  = []byte("data:")
	endMark     = []byte("[DONE]")
	errorPrefix = []byte(`{"error"`)
)

// errInStream is the cause where an engine reports an error inside a stream.
var errInStream = errors.New("engine reported an error inside the stream")

const (
	// firstLineBytes is the scanner's first buffer.
	firstLineBytes = 4 << 10
	// drainPatience bounds the wait for the end of the HTTP message after
	// the end mark.
	drainPatience = 50 * time.Millisecond
)

// Stream is one answer of an engine. It is for one goroutine, but for Close.
type Stream struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	stall  *time.Timer
	// patience is the longest wait for the next payload, between that for all
	// but the first.
	patience time.Duration
	between  time.Duration
	peer     string
	streamed bool
	body     io.ReadCloser
	lines    *bufio.Scanner
	maxBytes int64
	// end is what Next returns from now on, once set.
	end error
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, stall *time.Timer,
	peer string, call EngineCall, response *http.Response, o Options) *Stream {
	stall.Stop()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, min(firstLineBytes, o.MaxPayloadBytes)), o.MaxPayloadBytes)
	lines.Split(scanWholeLines)
	return &Stream{
		ctx: ctx, cancel: cancel, stall: stall, patience: call.Patience, between: o.StallTimeout,
		peer: peer, streamed: call.Stream, body: response.Body,
		lines: lines, maxBytes: o.MaxAnswerBytes,
	}
}

// Next returns the next payload: of a streamed answer the data of one event,
// else the whole body. The slice is valid until the next call. It returns
// io.EOF only after the end mark or the complete body, and an *Error for every
// other end.
func (s *Stream) Next() ([]byte, error) {
	if s.end != nil {
		return nil, s.end
	}
	s.stall.Reset(s.patience)
	payload, err := s.read()
	s.stall.Stop()
	s.patience = s.between
	if err != nil {
		s.end = err
		return nil, err
	}
	return payload, nil
}

// Close ends the call; before the end of the answer it closes the connection.
func (s *Stream) Close() error {
	s.stall.Stop()
	s.cancel(context.Canceled)
	return s.body.Close()
}

func (s *Stream) read() ([]byte, error) {
	if s.streamed {
		return s.readEvent()
	}
	return s.readBody()
}

func (s *Stream) readEvent() ([]byte, error) {
	for s.lines.Scan() {
		data, found := bytes.CutPrefix(s.lines.Bytes(), dataPrefix)
		if !found {
			continue
		}
		data = bytes.TrimPrefix(data, []byte(" "))
		if bytes.Equal(data, endMark) {
			s.drain()
			return nil, io.EOF
		}
		if bytes.HasPrefix(data, errorPrefix) {
			return nil, &Error{Kind: Refused, Step: "read", Peer: s.peer, Cause: errInStream}
		}
		return data, nil
	}
	if err := s.lines.Err(); err != nil {
		return nil, failure(s.ctx, "read", s.peer, err)
	}
	return nil, failure(s.ctx, "read", s.peer, errEarlyEnd)
}

// scanWholeLines is bufio.ScanLines without a last line that has no end: what is
// left when a connection breaks may be a part of an event. Only the end mark is
// known to be whole.
func scanWholeLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	advance, line, err = bufio.ScanLines(data, false)
	if advance == 0 && atEOF && isEndMark(data) {
		return len(data), data, nil
	}
	return advance, line, err
}

func isEndMark(line []byte) bool {
	data, found := bytes.CutPrefix(line, dataPrefix)
	return found && bytes.Equal(bytes.TrimPrefix(data, []byte(" ")), endMark)
}

// drain reads the rest of a finished stream so that the connection is reused.
func (s *Stream) drain() {
	s.stall.Reset(drainPatience)
	_, _ = io.Copy(io.Discard, io.LimitReader(s.body, firstLineBytes))
}

func (s *Stream) readBody() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(s.body, s.maxBytes+1))
	if err != nil {
		return nil, failure(s.ctx, "read", s.peer, err)
	}
	if int64(len(body)) > s.maxBytes {
		return nil, failure(s.ctx, "read", s.peer, errTooLarge)
	}
	if !json.Valid(body) {
		return nil, failure(s.ctx, "read", s.peer, errEarlyEnd)
	}
	s.end = io.EOF
	return body, nil
}
