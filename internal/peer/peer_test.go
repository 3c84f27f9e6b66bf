package peer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"galenatrestle/internal/errs"
)

const helloPath = "/hello/"

// startServer serves a greeting under helloPath and returns the address.
func startServer(t *testing.T, files KeyFiles) (*Server, *Keys, string) {
	t.Helper()
	registry := prometheus.NewRegistry()
	keys, err := NewKeys(files, registry)
	check(t, err)
	server := NewServer(keys, registry)
	server.http.ErrorLog = quietLog()
	server.Mount(helloPath, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.Proto)
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		check(t, <-done)
	})
	return server, keys, listener.Addr().String()
}

func newTestClients(t *testing.T, files KeyFiles) (*Clients, *Keys) {
	t.Helper()
	registry := prometheus.NewRegistry()
	keys, err := NewKeys(files, registry)
	check(t, err)
	clients := NewClients(keys, Settings{}, registry)
	t.Cleanup(clients.Close)
	return clients, keys
}

// hello calls the server and returns its status and body.
func hello(clients *Clients, address string) (int, string, error) {
	response, err := clients.HTTPClient(address).Get(clients.URL(address) + helloPath)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func wantGreeting(t *testing.T, clients *Clients, address string) {
	t.Helper()
	status, body, err := hello(clients, address)
	if err != nil || status != http.StatusOK || body != "HTTP/2.0" {
		t.Fatalf("got status %d, body %q, error %v; want 200 over HTTP/2.0", status, body, err)
	}
}

func TestPlainHTTP2WithoutKeys(t *testing.T) {
	_, _, address := startServer(t, KeyFiles{})
	clients, _ := newTestClients(t, KeyFiles{})
	wantGreeting(t, clients, address)
}

func TestMutualTLS(t *testing.T) {
	ca := newAuthority(t, "one")
	_, _, address := startServer(t, ca.write(t.TempDir(), nodeLeaf, ca))
	clients, _ := newTestClients(t, ca.write(t.TempDir(), nodeLeaf, ca))
	wantGreeting(t, clients, address)
}

func TestPeerWithoutRightKeyIsRefusedAndCounted(t *testing.T) {
	ca, stranger := newAuthority(t, "one"), newAuthority(t, "stranger")
	tests := []struct {
		reason string
		files  KeyFiles
	}{
		{refusedAuthority, stranger.write(t.TempDir(), nodeLeaf, ca)},
		{refusedName, ca.write(t.TempDir(), leaf{name: "operator.trestle", lifetime: time.Hour}, ca)},
		{refusedExpired, ca.write(t.TempDir(), leaf{name: NodeName, lifetime: -time.Minute}, ca)},
	}
	for _, test := range tests {
		t.Run(test.reason, func(t *testing.T) {
			server, _, address := startServer(t, ca.write(t.TempDir(), nodeLeaf, ca))
			clients, _ := newTestClients(t, test.files)
			if _, _, err := hello(clients, address); err == nil {
				t.Fatal("the peer was let in")
			}
			wantRefused(t, server, test.reason, 1)
		})
	}
}

func TestPeerWithoutCertificateIsRefusedAndCounted(t *testing.T) {
	ca := newAuthority(t, "one")
	server, _, address := startServer(t, ca.write(t.TempDir(), nodeLeaf, ca))
	clients, keys := newTestClients(t, ca.write(t.TempDir(), nodeLeaf, ca))
	keys.current.Load().certificate.Certificate = nil
	if _, _, err := hello(clients, address); err == nil {
		t.Fatal("the peer was let in")
	}
	wantRefused(t, server, refusedNoCertificate, 1)
}

func TestClientRefusesStrangeServer(t *testing.T) {
	ca, stranger := newAuthority(t, "one"), newAuthority(t, "stranger")
	_, _, address := startServer(t, stranger.write(t.TempDir(), nodeLeaf, ca, stranger))
	clients, _ := newTestClients(t, ca.write(t.TempDir(), nodeLeaf, ca))
	if _, _, err := hello(clients, address); err == nil {
		t.Fatal("the client took a server with a strange key")
	}
}

// TestKeysAreReplacedWithoutRestart goes through a replacement of the authority:
// both trusted, new leaves, old one taken out, and a peer that was forgotten.
func TestKeysAreReplacedWithoutRestart(t *testing.T) {
	before, after := newAuthority(t, "before"), newAuthority(t, "after")
	serverDir, clientDir, forgottenDir := t.TempDir(), t.TempDir(), t.TempDir()
	server, serverKeys, address := startServer(t, before.write(serverDir, nodeLeaf, before))
	clients, clientKeys := newTestClients(t, before.write(clientDir, nodeLeaf, before))
	forgotten, _ := newTestClients(t, before.write(forgottenDir, nodeLeaf, before, after))
	wantGreeting(t, clients, address)
	wantGreeting(t, forgotten, address)

	steps := []struct {
		signer  *authority
		trusted []*authority
	}{
		{before, []*authority{before, after}},
		{after, []*authority{before, after}},
		{after, []*authority{after}},
	}
	for _, step := range steps {
		step.signer.write(clientDir, nodeLeaf, step.trusted...)
		wantReload(t, clientKeys)
		wantGreeting(t, clients, address)
		step.signer.write(serverDir, nodeLeaf, step.trusted...)
		wantReload(t, serverKeys)
		wantGreeting(t, clients, address)
	}

	status, _, err := hello(forgotten, address)
	if err == nil && status != http.StatusForbidden {
		t.Fatalf("a peer of the old authority got status %d on its open connection", status)
	}
	wantRefused(t, server, refusedAuthority, 1)
}

func TestUnusableFileLeavesKeysInForce(t *testing.T) {
	ca := newAuthority(t, "one")
	files := ca.write(t.TempDir(), nodeLeaf, ca)
	_, keys, address := startServer(t, files)
	writePEM(t, files.Authorities, "CERTIFICATE")
	_, err := keys.Reload()
	if err == nil || !strings.Contains(err.Error(), files.Authorities) {
		t.Fatalf("got %v, want an error that names %s", err, files.Authorities)
	}
	clients, _ := newTestClients(t, ca.write(t.TempDir(), nodeLeaf, ca))
	wantGreeting(t, clients, address)
}

func TestErrorsCarryStepAndPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	address := listener.Addr().String()
	listener.Close()
	clients, _ := newTestClients(t, KeyFiles{})
	_, _, err = hello(clients, address)
	var typed *errorx.Error
	if !errors.As(err, &typed) || !typed.IsOfType(errs.Peer) {
		t.Fatalf("got %v, want an error of type peer", err)
	}
	if peer, _ := typed.Property(errs.PropertyPeer); peer != address {
		t.Errorf("peer is %v, want %s", peer, address)
	}
	if step, _ := typed.Property(errs.PropertyStep); step != "call peer "+helloPath {
		t.Errorf("step is %v", step)
	}
}

func TestPoolIsBounded(t *testing.T) {
	registry := prometheus.NewRegistry()
	keys, err := NewKeys(KeyFiles{}, registry)
	check(t, err)
	clients := NewClients(keys, Settings{MaxPeers: clientShards}, registry)
	for port := range 200 {
		clients.HTTPClient(net.JoinHostPort("127.0.0.1", string(rune('0'+port))))
	}
	held := 0
	for i := range clients.shards {
		held += len(clients.shards[i].clients)
	}
	if held > clientShards {
		t.Errorf("the pool holds %d clients, want at most %d", held, clientShards)
	}
}

func wantReload(t *testing.T, keys *Keys) {
	t.Helper()
	changed, err := keys.Reload()
	check(t, err)
	if !changed {
		t.Fatal("the changed files were not taken in")
	}
}

func wantRefused(t *testing.T, server *Server, reason string, least float64) {
	t.Helper()
	got := testutil.ToFloat64(server.refused.WithLabelValues(reason))
	if got < least {
		t.Errorf("refused for %s: %v, want at least %v", reason, got, least)
	}
}
