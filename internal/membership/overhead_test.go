package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"galenatrestle/internal/bytecount"
	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
	"galenatrestle/internal/gen/trestle/membership/v1/membershipv1connect"
	"galenatrestle/internal/peer"
)

// TestCallOverhead compares callOverhead with the bytes of calls on an open loopback
// connection.
func TestCallOverhead(t *testing.T) {
	registry := prometheus.NewRegistry()
	keys, err := peer.NewKeys(peer.KeyFiles{}, registry)
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(keys, registry)
	runner := NewRunner(Member{Name: "server", Region: "r"}, Settings{}, nil, rand.New(rand.NewPCG(1, 1)))
	server.Mount(runner.Handler())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	defer server.Close()

	var bytes atomic.Int64
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	dialer := &net.Dialer{}
	transport.DialContext = dialCountingBytes(dialer, &bytes)
	defer transport.CloseIdleConnections()
	client := membershipv1connect.NewMembershipServiceClient(
		&http.Client{Transport: transport}, "http://"+listener.Addr().String())

	const warmup, calls = 5, 200
	var messages int64
	for i := range warmup + calls {
		if i == warmup {
			bytes.Store(0)
			messages = 0
		}
		request := &membershipv1.SyncRequest{Gossip: &membershipv1.Gossip{
			Sender: &membershipv1.Member{Name: "client", Region: "r", PeerAddress: "10.0.0.1:9000", Incarnation: 1},
		}}
		response, err := client.Sync(t.Context(), connect.NewRequest(request))
		if err != nil {
			t.Fatal(err)
		}
		messages += int64(proto.Size(request) + proto.Size(response.Msg))
	}
	perCall := float64(bytes.Load()-messages) / calls
	// In each direction 1.5 packets with IPv4 and TCP headers (40) and a TLS 1.3
	// record (22).
	const tcpAndTLS = 2 * (40 + 22) * 1.5
	t.Logf("measured %.0f bytes per call beyond the messages in HTTP/2, about %.0f with TCP and TLS records", perCall, perCall+tcpAndTLS)
	if total := perCall + tcpAndTLS; total > callOverhead || total < callOverhead/2 {
		t.Errorf("callOverhead is %d, measured %.0f", callOverhead, total)
	}
}

func dialCountingBytes(dialer *net.Dialer, bytes *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return bytecount.Conn{Conn: conn, Bytes: bytes}, nil
	}
}
