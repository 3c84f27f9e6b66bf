package configsync

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/bytecount"
	"galenatrestle/internal/gen/trestle/configsync/v1/configsyncv1connect"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/peer"
)

// oneView is the view of a node that knows nobody.
type oneView struct{ address string }

func (v oneView) Self() membership.Member {
	return membership.Member{Name: "vm-1", PeerAddress: v.address, State: membership.StateServing}
}
func (v oneView) Members() []membership.Member   { return []membership.Member{v.Self()} }
func (v oneView) Owner(string) membership.Member { return v.Self() }

// TestConnectCarriesPullsAndNotices sends each message over a real connection
// and prints what it costs there.
func TestConnectCarriesPullsAndNotices(t *testing.T) {
	listener, err := bytecount.Listen()
	if err != nil {
		t.Fatal(err)
	}
	registry := prometheus.NewRegistry()
	keys, err := peer.NewKeys(peer.KeyFiles{}, registry)
	if err != nil {
		t.Fatal(err)
	}
	clients := peer.NewClients(keys, peer.Settings{}, registry)
	defer clients.Close()
	newSyncer := func(current *Current) *Syncer {
		return New(Options{
			Current: current, View: oneView{listener.Addr().String()}, Peers: NewConnectPeers(clients),
			Log: quiet(), Registry: prometheus.NewRegistry(),
		})
	}
	far, near := NewCurrent(), NewCurrent()
	server := peer.NewServer(keys, registry)
	server.Mount(configsyncv1connect.NewConfigSyncServiceHandler(NewHandler(newSyncer(far))))
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	defer func() {
		_ = server.Close()
		<-done
	}()

	far.Move(stateOf(t, 1, 1))
	syncer, address := newSyncer(near), listener.Addr().String()
	ctx := context.Background()
	syncer.pull(ctx, address)
	if near.Revision() != 1 || near.State().ID != "id-1" {
		t.Fatalf("revision %d after a pull", near.Revision())
	}
	near.Move(stateOf(t, 2, 2))
	syncer.deltas.add(deltaBetween(t, stateOf(t, 1, 1), near.State()))
	syncer.notify(ctx, address)
	if far.Revision() != 2 {
		t.Fatalf("revision %d after a notice with the delta", far.Revision())
	}

	const calls = 100
	per := func(call func()) float64 {
		before := listener.Bytes.Load()
		for range calls {
			call()
		}
		return float64(listener.Bytes.Load()-before) / calls
	}
	idlePull := per(func() { syncer.pull(ctx, address) })
	notice := per(func() { syncer.notify(ctx, address) })
	t.Logf("on the connection, both ways: %.0f bytes a pull without news, %.0f bytes a notice with a small delta", idlePull, notice)
	const mostIdle, mostNotice = 600, 1500
	if idlePull > mostIdle || notice > mostNotice {
		t.Errorf("a pull takes %.0f bytes (most %d), a notice %.0f (most %d)", idlePull, mostIdle, notice, mostNotice)
	}
}
