package nodesync

import "slices"

// topNodes selects the first limit nodes in the order of compare.
type topNodes struct {
	limit   int
	compare func(a, b *Node) int
	nodes   []Node
}

// offer inserts the node if it is among the first limit nodes offered so far.
func (b *topNodes) offer(n *Node) {
	index := len(b.nodes)
	for index > 0 && b.compare(n, &b.nodes[index-1]) < 0 {
		index--
	}
	if index >= b.limit {
		return
	}
	b.nodes = slices.Insert(b.nodes, index, *n)
	b.nodes = b.nodes[:min(len(b.nodes), b.limit)]
}
