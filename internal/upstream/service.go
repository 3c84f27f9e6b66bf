package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"galenatrestle/internal/openai"
)

// Service calls plain services. It is safe for concurrent use.
type Service struct {
	options Options
	reused  *http.Transport
	fresh   *http.Transport
}

// NewService returns a client for plain services.
func NewService(options Options) *Service {
	options = options.withDefaults()
	fresh := newTransport(options)
	fresh.DisableKeepAlives = true
	return &Service{options: options, reused: newTransport(options), fresh: fresh}
}

// Close closes the idle connections.
func (s *Service) Close() { s.reused.CloseIdleConnections() }

// Do makes the call once at address (host:port) and reads the whole answer,
// which is bounded by Options.MaxAnswerBytes. Errors are *Error; NotRun proves
// that no byte was handed over.
func (s *Service) Do(ctx context.Context, address string, call ServiceCall) (*ServiceAnswer, error) {
	var handed handover
	request, err := newServiceRequest(handed.trace(ctx), address, call)
	if err != nil {
		return nil, &Error{Kind: NotRun, Step: "encode", Peer: address, Cause: err}
	}
	response, err := roundTrip(s.transport(call), request)
	if err != nil && !handed.happened.Load() {
		return nil, &Error{Kind: NotRun, Step: "dial", Peer: address, Cause: err}
	}
	if err != nil {
		return nil, failure(ctx, "send", address, err)
	}
	defer response.Body.Close()
	body, err := s.readAll(response)
	if err == nil && endsWithConnection(response) {
		// A reset that the transport meets while it writes the request ends the
		// answer like a connection that is closed in order.
		err = handed.awaitWritten(ctx)
	}
	if err != nil {
		return nil, failure(ctx, "read", address, err)
	}
	return &ServiceAnswer{Status: response.StatusCode, Header: endToEnd(response.Header), Body: body}, nil
}

// endsWithConnection reports whether the answer has neither a length nor chunks.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

func (s *Service) transport(call ServiceCall) *http.Transport {
	if call.Unrepeatable {
		return s.fresh
	}
	return s.reused
}

func (s *Service) readAll(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, s.options.MaxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > s.options.MaxAnswerBytes {
		return nil, errTooLarge
	}
	return body, nil
}

func newServiceRequest(ctx context.Context, address string, call ServiceCall) (*http.Request, error) {
	// The body's type hides from the transport that it could be sent again:
	// net/http would else repeat a call with an Idempotency-Key by itself.
	body := onceReader{bytes.NewReader(call.Body)}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, body)
	if err != nil {
		return nil, err
	}
	request.Header = endToEnd(call.Header)
	request.Header.Del("Authorization")
	request.Header.Del("Content-Length")
	request.Header.Set(openai.HeaderRequestID, call.ID)
	request.ContentLength = int64(len(call.Body))
	return request, nil
}

// onceReader is a request body that cannot be rewound.
type onceReader struct{ io.Reader }

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of header without what concerns one connection.
func endToEnd(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}
