package testnet

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"testing"
)

// Serve runs handler on in-memory connections until the test ends, and returns
// a client whose every connection leads there.
func Serve(t testing.TB, handler http.Handler) *http.Client {
	t.Helper()
	listener := NewListener()
	server := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		return listener.Dial()
	}}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	return &http.Client{Transport: transport}
}
