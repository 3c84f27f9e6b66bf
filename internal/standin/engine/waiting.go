package engine

import "container/heap"

// waiting orders generations by priority, then by arrival. It implements
// heap.Interface.
type waiting []*generation

var _ heap.Interface = (*waiting)(nil)

// Len implements heap.Interface.
func (w waiting) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiting) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

// Swap implements heap.Interface.
func (w waiting) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push implements heap.Interface.
func (w *waiting) Push(x any) {
	g := x.(*generation)
	g.index = len(*w)
	*w = append(*w, g)
}

// Pop implements heap.Interface.
func (w *waiting) Pop() any {
	old := *w
	g := old[len(old)-1]
	old[len(old)-1] = nil
	g.index = -1
	*w = old[:len(old)-1]
	return g
}
