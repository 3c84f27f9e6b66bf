package upstream

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// handover records whether a connection was obtained for a request: before
// that no byte can have reached the upstream. It is safe for concurrent use.
type handover struct {
	happened atomic.Bool

	mu sync.Mutex
	// written is closed once the request was written to the last connection, or
	// could not be; writeErr is the error of that.
	written  chan struct{}
	writeErr error
}

// trace returns a context that reports to h.
func (h *handover) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { h.begin() },
		WroteRequest: func(info httptrace.WroteRequestInfo) { h.end(info.Err) },
	})
}

func (h *handover) begin() {
	h.happened.Store(true)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.written, h.writeErr = make(chan struct{}), nil
}

func (h *handover) end(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeErr = err
	close(h.written)
}

// awaitWritten waits until the request has been written, or could not be, and
// returns the error of that.
func (h *handover) awaitWritten(ctx context.Context) error {
	h.mu.Lock()
	written := h.written
	h.mu.Unlock()
	select {
	case <-written:
	case <-ctx.Done():
		return ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.writeErr
}
