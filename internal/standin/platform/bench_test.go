package platform

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"galenatrestle/internal/bytecount"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/httpstore"
	"galenatrestle/internal/platform/memstore"
)

// unlimited takes the rates away, so that the code's own speed shows.
var unlimited = memstore.Config{WritesPerSecond: 1e9, ReadsPerSecond: 1e9, WeightsPerSecond: 1e9}

// backends are the implementations to compare; each gives its store and the
// count of bytes on the wire.
func backends(b *testing.B) map[string]func() (platform.Store, *atomic.Int64) {
	return map[string]func() (platform.Store, *atomic.Int64){
		"memstore": func() (platform.Store, *atomic.Int64) {
			return memstore.New(unlimited), &atomic.Int64{}
		},
		"httpstore": func() (platform.Store, *atomic.Int64) {
			server := httptest.NewServer(API(memstore.New(unlimited)))
			b.Cleanup(server.Close)
			bytes := &atomic.Int64{}
			transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				var dialer net.Dialer
				conn, err := dialer.DialContext(ctx, network, address)
				return bytecount.Conn{Conn: conn, Bytes: bytes}, err
			}}
			client := httpstore.New(httpstore.Config{Address: server.Listener.Addr().String(), Transport: transport})
			b.Cleanup(client.Close)
			return client, bytes
		},
	}
}

// measure runs one call again and again on each backend.
func measure(b *testing.B, name string, prepare func(platform.Store), call func(platform.Store) error) {
	for backend, open := range backends(b) {
		b.Run(name+"/"+backend, func(b *testing.B) {
			store, bytes := open()
			prepare(store)
			bytes.Store(0)
			b.ReportAllocs()
			for b.Loop() {
				if err := call(store); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}

func BenchmarkCalls(b *testing.B) {
	ctx := b.Context()
	for _, size := range []int{256, 16 << 10, 256 << 10} {
		label := strconv.Itoa(size)
		value := make([]byte, size)
		var revision int64
		put := func(s platform.Store) error {
			entry, err := s.CompareAndSwap(ctx, "shard/7", revision, value)
			revision = entry.Revision
			return err
		}
		create := func(s platform.Store) {
			revision = 0
			if err := put(s); err != nil {
				b.Fatal(err)
			}
		}
		measure(b, "cas/"+label, create, put)
		measure(b, "get/"+label, create, func(s platform.Store) error {
			_, err := s.Get(ctx, "shard/7")
			return err
		})
	}
	var lease platform.Lease
	acquire := func(s platform.Store) {
		var err error
		if lease, err = s.Acquire(ctx, "duty/config", "entry-vm-3", time.Hour); err != nil {
			b.Fatal(err)
		}
	}
	measure(b, "renew", acquire, func(s platform.Store) error {
		_, err := s.Renew(ctx, lease)
		return err
	})
	measure(b, "idle watch", func(platform.Store) {}, func(s platform.Store) error {
		_, err := s.Watch(ctx, "config/", 0, 0)
		return err
	})
}
