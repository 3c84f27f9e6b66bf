package nodesync

import "slices"

// topNodes selects the first limit nodes in the order of compare.
type topNodes struct {
	limit   int
	compare func(a, b *Node) int
	nodes   []Node
}

// offer inserts the node if it is among the first limit nodes offered so far.
func (t *topNodes) offer(n *Node) {
	index := len(t.nodes)
	for index > 0 && t.compare(n, &t.nodes[index-1]) < 0 {
		index--
	}
	if index >= t.limit {
		return
	}
	t.nodes = slices.Insert(t.nodes, index, *n)
	t.nodes = t.nodes[:min(len(t.nodes), t.limit)]
}
