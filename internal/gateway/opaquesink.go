package gateway

import "galenatrestle/internal/refusal"

// opaqueSink passes an answer through whose content the system does not read.
type opaqueSink struct {
	outlet
	streamed bool
	stream   *streamSink
	whole    []byte
}

func (s *opaqueSink) begun() bool { return s.stream != nil && s.stream.begun() }

func (s *opaqueSink) chunk(data []byte) error {
	if !s.streamed {
		s.whole = append(s.whole[:0], data...)
		return nil
	}
	if s.stream == nil {
		s.stream = newStreamSink(s.outlet)
	}
	return s.stream.chunk(data)
}

func (s *opaqueSink) reset() { s.whole = s.whole[:0] }

func (s *opaqueSink) end() error {
	if s.stream != nil {
		return s.stream.end()
	}
	header := s.w.Header()
	s.prepare(header)
	header.Set(headerType, typeJSON)
	s.keep(s.whole)
	giveTime(s.w, len(s.whole))
	_, err := s.w.Write(s.whole)
	return err
}

func (s *opaqueSink) fail(refused *refusal.Error) {
	if s.begun() {
		s.stream.fail(refused)
		return
	}
	s.prepare(s.w.Header())
	s.server.refuse(s.w, refused)
}
