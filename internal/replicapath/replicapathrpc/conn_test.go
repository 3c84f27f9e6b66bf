package replicapathrpc

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/peer"
	"galenatrestle/internal/replicapath"
)

// link is a client and a server on loopback, and a listener that stands for a replica.
type link struct {
	client  *Client
	server  *Server
	helper  replicapath.Helper
	replica net.Listener
	// dialErr is the error of the helper's connections; nil: they are opened.
	dialErr error
}

func newLink(t *testing.T) *link {
	t.Helper()
	l := &link{}
	registry := prometheus.NewRegistry()
	keys, err := peer.NewKeys(peer.KeyFiles{}, registry)
	if err != nil {
		t.Fatal(err)
	}
	l.server = NewServer(l.dial, registry)
	peers := peer.NewServer(keys, registry)
	peers.Mount(l.server.Handler())
	listener := listen(t)
	go peers.Serve(listener)
	clients := peer.NewClients(keys, peer.Settings{MaxConnections: 1}, registry)
	l.client, l.helper, l.replica = NewClient(clients), replicapath.Helper{Name: "vm-2", Address: listener.Addr().String()}, listen(t)
	t.Cleanup(func() {
		clients.Close()
		_ = peers.Close()
	})
	return l
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

func (l *link) dial(ctx context.Context, address string) (net.Conn, error) {
	if l.dialErr != nil {
		return nil, l.dialErr
	}
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// connect opens a connection and returns both ends.
func (l *link) connect(t *testing.T) (near, replica net.Conn) {
	t.Helper()
	near, err := l.client.DialThrough(t.Context(), l.helper, l.replica.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	replica, err = l.replica.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		near.Close()
		replica.Close()
	})
	return near, replica
}

func TestDataPassesBothWays(t *testing.T) {
	near, replica := newLink(t).connect(t)
	sent := strings.Repeat("request", 20_000)
	go io.WriteString(near, sent)
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(replica, got); err != nil || string(got) != sent {
		t.Fatalf("the replica got %d bytes, error %v", len(got), err)
	}
	go func() {
		io.WriteString(replica, sent)
		replica.Close()
	}()
	if answer, err := io.ReadAll(near); err != nil || string(answer) != sent {
		t.Errorf("%d bytes of the answer, error %v", len(answer), err)
	}
}

// Guards against an answer without a length that is cut on the way and looks complete.
func TestConnectionThatTheReplicaResetsDoesNotEndInOrder(t *testing.T) {
	near, replica := newLink(t).connect(t)
	if _, err := io.WriteString(replica, "half of an answer"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(near, make([]byte, len("half of an answer"))); err != nil {
		t.Fatal(err)
	}
	_ = replica.(*net.TCPConn).SetLinger(0)
	replica.Close()
	if _, err := near.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("error %v after a reset, want another one than EOF", err)
	}
}

// Guards against a reset that a write to the replica gets, so that reading ends as if in order.
func TestConnectionThatIsResetWhileTheRequestIsWrittenDoesNotEndInOrder(t *testing.T) {
	for range 20 {
		near, replica := newLink(t).connect(t)
		_ = replica.(*net.TCPConn).SetReadBuffer(4096)
		go func() { _, _ = near.Write(make([]byte, 4<<20)) }()
		_, _ = replica.Read(make([]byte, 1024))
		_, _ = io.WriteString(replica, "half of an answer")
		if _, err := io.ReadFull(near, make([]byte, len("half of an answer"))); err != nil {
			t.Fatal(err)
		}
		_ = replica.(*net.TCPConn).SetLinger(0)
		replica.Close()
		if _, err := near.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
			t.Fatalf("error %v after a reset, want another one than EOF", err)
		}
	}
}

// Guards against replicas that go on working for a caller that has left.
func TestClosedConnectionIsClosedAtTheReplica(t *testing.T) {
	l := newLink(t)
	near, replica := l.connect(t)
	near.Close()
	if _, err := replica.Read(make([]byte, 1)); err == nil {
		t.Error("the replica's connection is still open")
	}
}

func TestIdleConnectionThatTheReplicaClosedIsNotUsed(t *testing.T) {
	near, replica := newLink(t).connect(t)
	if !near.(*conn).OpenAndEmpty() {
		t.Error("an open connection counts as closed")
	}
	replica.Close()
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("error %v, want EOF", err)
	}
	if near.(*conn).OpenAndEmpty() {
		t.Error("a closed connection counts as open")
	}
}

// Guards against connections that a node carries only until it exits.
func TestNodeAboutToStopCarriesNoNewConnections(t *testing.T) {
	l := newLink(t)
	l.server.RefuseNew()
	if _, err := l.client.DialThrough(t.Context(), l.helper, l.replica.Addr().String()); !errors.Is(err, replicapath.ErrPathLost) {
		t.Errorf("error %v, want %v", err, replicapath.ErrPathLost)
	}
}

func TestOutcomesAreTold(t *testing.T) {
	for name, test := range map[string]struct{ dialErr, want error }{
		"refused":   {syscall.ECONNREFUSED, syscall.ECONNREFUSED},
		"timed out": {context.DeadlineExceeded, replicapath.ErrUnreachable},
		"path lost": {replicapath.ErrPathLost, replicapath.ErrPathLost},
		// A node that finds its path lost tells that, not what it saw at the replica.
		"refused and path lost": {errors.Join(replicapath.ErrPathLost, syscall.ECONNREFUSED), replicapath.ErrPathLost},
	} {
		l := newLink(t)
		l.dialErr = test.dialErr
		_, err := l.client.DialThrough(t.Context(), l.helper, l.replica.Addr().String())
		var relayed *replicapath.RelayError
		if !errors.Is(err, test.want) || !errors.As(err, &relayed) || relayed.Helper != l.helper.Name {
			t.Errorf("%s: error %v, want %v met by %s", name, err, test.want, l.helper.Name)
		}
	}
}
