package node

import (
	"galenatrestle/internal/membership"
)

// staticView is a view of this node and of peers named at start.
type staticView struct {
	node  *Node
	peers []*Node
}

func newStaticView(n *Node) *staticView { return &staticView{node: n} }

// SetPeers names the other nodes of a deployment in one process.
func (n *Node) SetPeers(peers ...*Node) { n.members.peers = peers }

// Self implements membership.View.
func (v *staticView) Self() membership.Member { return v.node.member() }

// Members implements membership.View.
func (v *staticView) Members() []membership.Member {
	members := []membership.Member{v.node.member()}
	for _, peer := range v.peers {
		members = append(members, peer.member())
	}
	return members
}

// Owner implements membership.View: without membership each node owns all.
func (v *staticView) Owner(string) membership.Member { return v.node.member() }

func (n *Node) member() membership.Member {
	m := membership.Member{
		Name:             n.options.Name,
		EntryAddress:     n.options.EntryAddress,
		PeerAddress:      n.options.PeerAddress,
		AvailabilityZone: n.options.AvailabilityZone,
		Region:           n.options.Region,
		State:            membership.StateServing,
	}
	if n.leaving.Load() {
		m.State = membership.StateLeaving
	}
	if index := n.config.Load(); index != nil {
		m.ConfigRevision = index.Revision()
	}
	return m
}
