package nodesync

import "slices"

// best is the first nodes of those offered, by an order.
type best struct {
	most    int
	compare func(a, b *Node) int
	nodes   []Node
}

// offer takes the node in if it is before one of those taken, or there are too few.
func (b *best) offer(n *Node) {
	at := len(b.nodes)
	for at > 0 && b.compare(n, &b.nodes[at-1]) < 0 {
		at--
	}
	if at >= b.most {
		return
	}
	b.nodes = slices.Insert(b.nodes, at, *n)
	b.nodes = b.nodes[:min(len(b.nodes), b.most)]
}
