package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/replicapath"
	"galenatrestle/internal/replicapath/replicapathrpc"
)

// replicaPath connects to replicas, through other nodes while this one reaches none, and for other
// nodes that reach none.
type replicaPath struct {
	node    *Node
	dialer  *replicapath.Dialer
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// pathStream sets the random source of the path apart from the others.
const pathStream = 0x70617468

// newReplicaPath creates the part and mounts its handler on the peer listener.
func newReplicaPath(n *Node) *replicaPath {
	p := &replicaPath{node: n}
	p.dialer = replicapath.NewDialer(replicapath.Options{
		Direct: n.options.DialReplica, Ask: askReplica, Addresses: p.addresses, MayConnect: p.isReplica, Helpers: p.helpers, OnLost: p.closeIdle,
		Rand: rand.New(rand.NewPCG(n.options.Seed, pathStream)), Log: pathLog{n.options.Log}, Registry: n.options.Registry,
	})
	n.peers.server.Mount(replicapathrpc.NewServer(p.dialer.DialForNode, n.options.Registry).Handler())
	p.dialer.SetDialThrough(replicapathrpc.NewClient(n.peers.clients).DialThrough)
	return p
}

// askReplica asks the server of a replica for any response, without a call of the model or the service.
func askReplica(ctx context.Context, conn net.Conn) error {
	return replicaconn.Ask(ctx, conn, &replicaconn.Request{Method: http.MethodOptions, Target: "*", Host: conn.RemoteAddr().String()})
}

func (p *replicaPath) start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.running.Go(func() { p.dialer.Run(ctx) })
}

func (p *replicaPath) close() {
	if p.cancel == nil {
		return
	}
	p.cancel()
	p.running.Wait()
}

// closeIdle closes idle connections, on which a silent path would lose requests.
func (p *replicaPath) closeIdle() {
	p.node.engines.Close()
	p.node.services.Close()
}

// addresses returns the addresses of the configured replicas.
func (p *replicaPath) addresses() []string {
	index := p.node.config.Load()
	if index == nil {
		return nil
	}
	var addresses []string
	for _, u := range index.Document().Upstreams {
		for _, r := range u.Replicas {
			addresses = append(addresses, r.Address)
		}
	}
	return addresses
}

// helpers returns up to count random nodes of the region that may connect to replicas.
func (p *replicaPath) helpers(count int) []replicapath.Helper {
	var helpers []replicapath.Helper
	for _, m := range p.node.members.runner.Members() {
		leaving := m.State == membership.StateLeaving
		if m.Name != p.node.options.Name && (leaving || m.State == membership.StateServing) && m.PeerAddress != "" {
			helpers = append(helpers, replicapath.Helper{Name: m.Name, Address: m.PeerAddress, Leaving: leaving})
		}
	}
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	return helpers[:min(len(helpers), count)]
}

// isReplica reports whether a replica is configured at the address.
func (p *replicaPath) isReplica(address string) bool { return slices.Contains(p.addresses(), address) }

// pathLog writes events to the node's log.
type pathLog struct{ log logrus.FieldLogger }

// Write implements replicapath.Log.
func (l pathLog) Write(e eventlog.Event) { l.log.WithFields(e.Fields()).Warn(e.Name()) }
