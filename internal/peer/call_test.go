package peer

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// countingListener counts the bytes of its connections, TLS records included.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkCall is one call between two nodes on an open connection over mutual
// TLS, both ends in this process; bytes/op are those of both ways.
func BenchmarkCall(b *testing.B) {
	ca := newAuthority(b, "one")
	registry := prometheus.NewRegistry()
	keys, err := NewKeys(ca.write(b.TempDir(), nodeLeaf, ca), registry)
	check(b, err)
	server := NewServer(keys, registry)
	server.Mount(helloPath, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	check(b, err)
	var bytes atomic.Int64
	go server.Serve(countingListener{Listener: plain, bytes: &bytes})
	defer server.Close()
	clients := NewClients(keys, Settings{}, registry)
	defer clients.Close()
	address := plain.Addr().String()
	if _, _, err := hello(clients, address); err != nil {
		b.Fatal(err)
	}
	bytes.Store(0)
	b.ResetTimer()
	for range b.N {
		if _, _, err := hello(clients, address); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
}
