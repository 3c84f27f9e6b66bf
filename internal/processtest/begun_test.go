package processtest

import (
	"context"
	"io"
	"net/http"
	"sync"
)

type begunKey struct{}

// withBegun has the channel closed when the first byte of an answer's body has
// come.
func withBegun(ctx context.Context, begun chan struct{}) context.Context {
	return context.WithValue(ctx, begunKey{}, begun)
}

// begunTransport tells when answers begin.
type begunTransport struct {
	inner http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t begunTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.inner.RoundTrip(request)
	begun, ok := request.Context().Value(begunKey{}).(chan struct{})
	if err == nil && ok {
		response.Body = &begunBody{ReadCloser: response.Body, begun: begun}
	}
	return response, err
}

type begunBody struct {
	io.ReadCloser
	begun chan struct{}
	once  sync.Once
}

// Read implements io.Reader.
func (b *begunBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.once.Do(func() { close(b.begun) })
	}
	return n, err
}
