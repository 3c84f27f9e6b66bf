package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/httplimits"
)

// Bounds on what a connection may take before its request is read.
const (
	readHeaderTimeout = 10 * time.Second
)

// serve answers on the listener with HTTP/1.1 and h2c.
func (n *Node) serve(name string, listener net.Listener, handler http.Handler) {
	if listener == nil {
		return
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    httplimits.HeadBytes,
	}
	n.servers = append(n.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.options.Log.WithError(err).WithField("step", "serve "+name).Error("listener failed")
		}
	}()
}

// waitKeepTime waits until no caller holds this node's address any more.
func (n *Node) waitKeepTime(ctx context.Context) error {
	return ctxtime.Sleep(ctx, n.options.KeepTime)
}
