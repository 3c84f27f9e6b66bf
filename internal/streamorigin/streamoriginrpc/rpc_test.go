package streamoriginrpc

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/streamorigin"
)

// alone implements streamorigin.Fleet for a node without others.
type alone struct{}

func (alone) RecordKeepers() ([]streamorigin.Node, bool) { return nil, false }
func (alone) RecordHolders() ([]streamorigin.Node, int)  { return nil, 1 }
func (alone) RecordSavers() int                          { return 1 }

// serve serves a tracker to other nodes on loopback, and returns it with a client of its node.
func serve(t testing.TB) (*streamorigin.Tracker, *Client, streamorigin.Node) {
	t.Helper()
	registry := prometheus.NewRegistry()
	keys, err := peer.NewKeys(peer.KeyFiles{}, registry)
	if err != nil {
		t.Fatal(err)
	}
	tracker := streamorigin.New(streamorigin.Options{
		Replicas: replica.NewSet(), Fleet: alone{}, Clock: boottime.Now, Log: eventlog.New(io.Discard, ""), Registry: registry,
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	server := peer.NewServer(keys, registry)
	server.Mount(NewHandler(tracker, boottime.Now))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	clients := peer.NewClients(keys, peer.Settings{MaxConnections: 1}, registry)
	t.Cleanup(func() {
		clients.Close()
		_ = server.Close()
	})
	return tracker, NewClient(clients, boottime.Now), streamorigin.Node{Name: "vm-2", Address: listener.Addr().String()}
}

func record(attempt, version string) streamorigin.Record {
	return streamorigin.Record{
		Stream: streamorigin.IDOf(attempt), Origin: streamorigin.Origin{Upstream: "model", Version: version}, Until: boottime.Now().Add(time.Minute),
	}
}

func TestRecordsReachTheOtherNode(t *testing.T) {
	tracker, client, node := serve(t)
	sent := []streamorigin.Record{record("a", "v1"), record("b", "v2"), record("c", "v1")}
	if err := client.Add(t.Context(), node, sent, false); err != nil {
		t.Fatal(err)
	}
	for _, want := range sent {
		a, err := client.Find(t.Context(), node, want.Stream, "model")
		if err != nil || a.Record == nil || a.Record.Stream != want.Stream || a.Record.Origin != want.Origin {
			t.Errorf("%+v, %v; want %+v", a.Record, err, want)
			continue
		}
		if late := want.Until.Sub(a.Record.Until).Abs(); late > 10*time.Second {
			t.Errorf("kept %s longer or shorter than asked for", late)
		}
	}
	a, err := client.Find(t.Context(), node, streamorigin.IDOf("d"), "model")
	if err != nil || a.Record != nil || a.Complete || len(a.Versions) != 0 {
		t.Errorf("%+v, %v of a stream that is not known", a, err)
	}
	if own := tracker.Find(streamorigin.IDOf("a"), "model"); own.Record == nil {
		t.Error("the other node does not have the record")
	}
}

// BenchmarkAdd measures passing on some records over loopback, both sides.
func BenchmarkAdd(b *testing.B) {
	_, client, node := serve(b)
	records := []streamorigin.Record{record("a", "v1"), record("b", "v2"), record("c", "v1")}
	for b.Loop() {
		if err := client.Add(b.Context(), node, records, true); err != nil {
			b.Fatal(err)
		}
	}
}
