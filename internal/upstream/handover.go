package upstream

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// handover records whether a connection was obtained for a request: before
// that no byte can have reached the upstream.
type handover struct {
	happened atomic.Bool
}

// trace returns a context that reports to h.
func (h *handover) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { h.happened.Store(true) },
	})
}
