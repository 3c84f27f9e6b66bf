package retrybudget

import (
	"sync"
	"time"
)

// Limits configures the retry limit shared by all nodes.
type Limits struct {
	// Ratio is the allowed number of retries per request.
	Ratio float64
	// Window is the sliding window in which requests and retries are counted.
	Window time.Duration
	// Allowance is the number of retries per window allowed on top of Ratio.
	Allowance float64
	// Nodes is the largest number of nodes that share the allowance at a time.
	Nodes int
}

const (
	// windowCells is the number of cells that make up a window.
	windowCells = 10
	// usableFraction is the fraction of the limit that nodes use. The rest covers
	// restarted nodes and windows whose edges differ between nodes.
	usableFraction = 0.75
	// startFraction is the fraction that a node uses in the first window after its
	// start: what the process before it has spent in that window is unknown.
	startFraction = 1 - usableFraction
)

// Budget is one node's share of the retry limit. It is safe for concurrent use.
type Budget struct {
	startedAt time.Time

	mu        sync.Mutex
	limits    Limits
	upstreams map[string]*window
}

// window counts requests and retries of one upstream in a ring of cells. It has one
// cell more than a window needs, because the newest cell is incomplete.
type window struct {
	cells [windowCells + 1]cell
}

type cell struct {
	index    int64
	requests int
	retries  int
}

// New returns the budget of a process that started at startedAt.
func New(limits Limits, startedAt time.Time) *Budget {
	return &Budget{startedAt: startedAt, limits: limits, upstreams: make(map[string]*window)}
}

// SetLimits replaces the limits. A new window length resets all counts.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limits.Window != b.limits.Window {
		clear(b.upstreams)
	}
	b.limits = limits
}

// SetNodes sets the number of nodes that share the allowance.
func (b *Budget) SetNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Nodes = nodes
}

// CountRequest counts a request's first attempt at the upstream.
func (b *Budget) CountRequest(now time.Time, upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentCell(now, upstream).requests++
}

// Take spends one retry and reports whether the budget allowed it.
func (b *Budget) Take(now time.Time, upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCell(now, upstream)
	if b.usage(now, upstream).Remaining < 1 {
		return false
	}
	c.retries++
	return true
}

// Usage is what a node has counted for an upstream in the current window.
type Usage struct {
	Requests, Retries int
	// Remaining is the number of retries left.
	Remaining float64
}

// Usage returns the upstream's counts.
func (b *Budget) Usage(now time.Time, upstream string) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(now, upstream)
}

func (b *Budget) usage(now time.Time, upstream string) Usage {
	w, ok := b.upstreams[upstream]
	if !ok {
		w = &window{}
	}
	newest := b.cellIndex(now)
	var u Usage
	for _, c := range w.cells {
		if c.index <= newest-int64(len(w.cells)) {
			continue
		}
		u.Requests += c.requests
		u.Retries += c.retries
	}
	u.Remaining = b.share(now, u.Requests) - float64(u.Retries)
	return u
}

// share returns the number of retries that the node may spend in a window with the given
// number of requests. After the start the allowance grows with the time, so that several
// processes that follow each other within a window do not spend it several times.
func (b *Budget) share(now time.Time, requests int) float64 {
	ratio := b.limits.Ratio * float64(requests)
	allowance := b.limits.Allowance / float64(max(b.limits.Nodes, 1))
	uptime := now.Sub(b.startedAt)
	if uptime >= b.limits.Window {
		return usableFraction * (ratio + allowance)
	}
	return startFraction * (ratio + allowance*uptime.Seconds()/b.limits.Window.Seconds())
}

// currentCell returns the cell for now, reset if its contents have expired. The
// caller holds b.mu.
func (b *Budget) currentCell(now time.Time, upstream string) *cell {
	w, ok := b.upstreams[upstream]
	if !ok {
		w = &window{}
		b.upstreams[upstream] = w
	}
	index := b.cellIndex(now)
	c := &w.cells[index%int64(len(w.cells))]
	if c.index < index {
		*c = cell{index: index}
	}
	return c
}

func (b *Budget) cellIndex(now time.Time) int64 {
	return now.UnixNano() / int64(b.limits.Window/windowCells)
}
