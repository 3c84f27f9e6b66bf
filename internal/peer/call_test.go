package peer

import (
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/bytecount"
)

// BenchmarkCall is one call between two nodes on an open connection over mutual
// TLS, both ends in this process; bytes/op are those of both ways.
func BenchmarkCall(b *testing.B) {
	ca := newAuthority(b, "one")
	registry := prometheus.NewRegistry()
	keys, err := NewKeys(ca.write(b.TempDir(), nodeLeaf, ca), registry)
	check(b, err)
	server := NewServer(keys, registry)
	server.Mount(helloPath, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	listener, err := bytecount.Listen()
	check(b, err)
	go server.Serve(listener)
	defer server.Close()
	clients := NewClients(keys, Settings{}, registry)
	defer clients.Close()
	address := listener.Addr().String()
	if _, _, err := hello(clients, address); err != nil {
		b.Fatal(err)
	}
	listener.Bytes.Store(0)
	b.ResetTimer()
	for range b.N {
		if _, _, err := hello(clients, address); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(listener.Bytes.Load())/float64(b.N), "bytes/op")
}
