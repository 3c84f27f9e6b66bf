package edge

import (
	"math/rand/v2"

	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/replicapath"
)

// newReplicaPath returns the dialer of connections to replicas.
func (n *Node) newReplicaPath() *replicapath.Dialer {
	direct := n.options.DialReplica
	if direct == nil {
		direct = replicaconn.TCPDial(replicaconn.DefaultDialTimeout)
	}
	return replicapath.NewDialer(replicapath.Options{
		Direct: direct, Addresses: n.replicaAddresses,
		Rand: rand.New(rand.NewPCG(n.options.Seed, 6)), Log: n.log, Registry: n.registry,
	})
}

// replicaAddresses returns the addresses of the replicas that this node may use.
func (n *Node) replicaAddresses() []string {
	listing, _ := n.replicas.Latest()
	var addresses []string
	for i := range listing.Replicas {
		if r := &listing.Replicas[i]; !r.Draining {
			addresses = append(addresses, r.Address)
		}
	}
	return addresses
}
