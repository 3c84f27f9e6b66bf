package usage

import (
	"maps"
	"sync"
	"time"
)

// keepWindows is the number of windows for which a node keeps its counts, to outlast a
// typical outage of the platform's store.
const keepWindows = 12

// Counts is the number of requests by workspace.
type Counts map[string]int64

// Meter counts the requests that begin at one node. It is safe for concurrent use.
type Meter struct {
	length time.Duration
	now    func() time.Time

	mu      sync.Mutex
	windows map[int64]Counts
}

// NewMeter returns a meter with windows of the given length; now returns fleet time.
func NewMeter(length time.Duration, now func() time.Time) *Meter {
	return &Meter{length: length, now: now, windows: make(map[int64]Counts)}
}

// Window returns the number of the window that contains at; window 0 begins at the Unix
// epoch.
func Window(at time.Time, length time.Duration) int64 { return at.UnixNano() / int64(length) }

// End returns the end of the window.
func End(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// Began counts a request of the workspace in the current window. It ignores an empty
// workspace.
func (m *Meter) Began(workspace string) {
	if workspace == "" {
		return
	}
	window := Window(m.now(), m.length)
	m.mu.Lock()
	defer m.mu.Unlock()
	counts, ok := m.windows[window]
	if !ok {
		counts = make(Counts)
		m.windows[window] = counts
		m.deleteThrough(window - keepWindows)
	}
	counts[workspace]++
}

// deleteThrough deletes all windows up to and including last. The caller must hold mu.
func (m *Meter) deleteThrough(last int64) {
	for window := range m.windows {
		if window <= last {
			delete(m.windows, window)
		}
	}
}

// Since returns a copy of the counts of all windows from first on.
func (m *Meter) Since(first int64) map[int64]Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	since := make(map[int64]Counts)
	for window, counts := range m.windows {
		if window >= first {
			since[window] = maps.Clone(counts)
		}
	}
	return since
}
