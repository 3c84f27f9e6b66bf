package capacity

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/credit"
	"galenatrestle/internal/membership"
)

const (
	replicaSlots = 90
)

// Credits runs an exchange of credits for each node over loopback, with
// replicas in the proportion of the fleet's, and returns what a node spends that
// asks each owner once in renew.
// Nothing waits, so that no ask goes out before its time.
func Credits(ctx context.Context, fleet Fleet, nodes []int, renew time.Duration) ([]Slope, error) {
	base := Slope{Role: RoleCredits, Against: "nodes in the region", Target: fleet.NodesPerRegion()}
	bytes, calls, cpu := base, base, base
	bytes.Quantity, bytes.Unit = "bytes in and out", "B/s"
	calls.Quantity, calls.Unit = "calls made and answered", "1/s"
	cpu.Quantity, cpu.Unit = "processor time", "core"
	for _, n := range nodes {
		cost, err := creditsAt(ctx, fleet, n, renew)
		if err != nil {
			return nil, err
		}
		bytes.add(n, cost.bytes)
		calls.add(n, cost.calls)
		cpu.add(n, cost.core)
	}
	return fitOn(Log2, bytes, calls, cpu)
}

// creditCost is one size's figures, a node and second.
type creditCost struct{ bytes, calls, core float64 }

// creditNode is one node's exchange and its link.
type creditNode struct {
	exchange *credit.Exchange
	link     *peerLink
	registry *prometheus.Registry
	// snapshot is set before the exchange runs.
	snapshot *membership.Snapshot
}

// View implements credit.Members.
func (n *creditNode) View() *membership.Snapshot { return n.snapshot }

func creditsAt(ctx context.Context, fleet Fleet, n int, renew time.Duration) (creditCost, error) {
	defer fewCores()()
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	nodes, err := creditNodes(fleet, n, renew)
	if err != nil {
		return creditCost{}, err
	}
	for _, node := range nodes {
		defer node.link.close()
		running.Go(func() { node.exchange.Run(ctx) })
	}
	time.Sleep(renew)
	bytes, calls := spentOnCredits(nodes)
	used := cpuOf(func() { time.Sleep(2 * renew) })
	bytesAfter, callsAfter := spentOnCredits(nodes)
	seconds := 2 * renew.Seconds() * float64(n)
	// Each call has two ends, which both count its bytes.
	return creditCost{
		bytes: 2 * (bytesAfter - bytes) / seconds,
		calls: 2 * (callsAfter - calls) / seconds,
		core:  used.Seconds() / seconds,
	}, ctx.Err()
}

// creditNodes returns n nodes that know each other.
func creditNodes(fleet Fleet, n int, renew time.Duration) ([]*creditNode, error) {
	var nodes []*creditNode
	var addresses []string
	for range n {
		node := &creditNode{registry: prometheus.NewRegistry()}
		link, err := newPeerLink("/", http.HandlerFunc(node.serve))
		if err != nil {
			return nil, err
		}
		node.link = link
		nodes = append(nodes, node)
		addresses = append(addresses, link.address())
	}
	r := newRegionAt(addresses)
	r.run(settleFor)
	needs := needsOf(fleet, n)
	for i, node := range nodes {
		node.snapshot = r.tables[addresses[i]].Snapshot()
		node.exchange = credit.NewExchange(credit.Options{
			Node: regionNode(0, i), Members: node, Clients: node.link.clients,
			Settings: credit.Settings{Renew: renew, LeaseTime: 3 * renew},
			Needs:    needs, Allow: func(string, string, int) {},
			Rand: rand.New(rand.NewPCG(3, uint64(i))), Registerer: node.registry,
		})
	}
	return nodes, nil
}

// serve hands calls to the exchange, which needs the addresses first.
func (n *creditNode) serve(w http.ResponseWriter, r *http.Request) {
	_, handler := n.exchange.Handler()
	handler.ServeHTTP(w, r)
}

// needsOf returns needs of a region of n nodes with its part of the replicas.
func needsOf(fleet Fleet, n int) func() []credit.Need {
	replicas := int(float64(fleet.Replicas) * float64(n) / float64(fleet.Nodes))
	d := document(fleet, 1, max(replicas, fleet.Models))
	return func() []credit.Need {
		var needs []credit.Need
		for _, upstream := range d.Upstreams {
			need := credit.Need{Upstream: upstream.Name}
			for _, r := range upstream.Replicas {
				need.Replicas = append(need.Replicas, credit.ReplicaNeed{Name: r.Name, Limit: replicaSlots})
			}
			needs = append(needs, need)
		}
		return needs
	}
}

// spentOnCredits returns the bytes on all connections and the calls made. TCP
// and TLS are left out of the bytes.
func spentOnCredits(nodes []*creditNode) (bytes, calls float64) {
	for _, node := range nodes {
		bytes += float64(node.link.listener.Bytes.Load())
		calls += counted(node.registry, "trestle_credit_messages_total")
	}
	return bytes, calls
}
