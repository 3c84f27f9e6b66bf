package retrybudget

import (
	"sync"
	"time"
)

// Limits is the bound that all nodes share.
type Limits struct {
	// Ratio of added attempts to requests.
	Ratio float64
	// Window over which both are counted.
	Window time.Duration
	// Allowance is the number of added attempts in a window beyond the ratio.
	Allowance float64
	// Nodes is the largest number of nodes that spend at a time.
	Nodes int
}

const (
	// cells is the number of parts in which the window moves on.
	cells = 10
	// margin is the part of the shared bound that the nodes use: restarted
	// nodes spend their share twice, and requests are counted at other edges.
	margin = 0.75
)

// Budget is one node's part. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu        sync.Mutex
	upstreams map[string]*window
}

// window counts over the last cells.
type window struct {
	cells [cells + 1]cell
}

type cell struct {
	index    int64
	requests int
	added    int
}

// New returns a budget from which nothing was spent.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, upstreams: make(map[string]*window)}
}

// SetLimits puts other limits in force; the counts of a changed window start
// anew.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limits.Window != b.limits.Window {
		clear(b.upstreams)
	}
	b.limits = limits
}

// SetNodes changes the number of nodes that share the allowance.
func (b *Budget) SetNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Nodes = nodes
}

// CountRequest counts a request's first attempt at the upstream.
func (b *Budget) CountRequest(now time.Time, upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cell(now, upstream).requests++
}

// Take counts one added attempt if there is room for it.
func (b *Budget) Take(now time.Time, upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.cell(now, upstream)
	if b.left(now, upstream) < 1 {
		return false
	}
	c.added++
	return true
}

// Remaining is the number of attempts that may still be added, for explanations.
func (b *Budget) Remaining(now time.Time, upstream string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(now, upstream)
}

func (b *Budget) left(now time.Time, upstream string) float64 {
	w, ok := b.upstreams[upstream]
	if !ok {
		w = &window{}
	}
	newest := b.index(now)
	requests, added := 0, 0
	for _, c := range w.cells {
		if c.index <= newest-int64(len(w.cells)) {
			continue
		}
		requests += c.requests
		added += c.added
	}
	share := b.limits.Ratio*float64(requests) + b.limits.Allowance/float64(max(b.limits.Nodes, 1))
	return margin*share - float64(added)
}

// cell returns the cell of now, emptied if it held an older time. The lock is
// held.
func (b *Budget) cell(now time.Time, upstream string) *cell {
	w, ok := b.upstreams[upstream]
	if !ok {
		w = &window{}
		b.upstreams[upstream] = w
	}
	index := b.index(now)
	c := &w.cells[index%int64(len(w.cells))]
	if c.index < index {
		*c = cell{index: index}
	}
	return c
}

func (b *Budget) index(now time.Time) int64 {
	return now.UnixNano() / int64(b.limits.Window/cells)
}
