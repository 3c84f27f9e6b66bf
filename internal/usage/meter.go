package usage

import (
	"maps"
	"sync"
	"time"
)

// keepWindows is how many windows a node keeps its counts: longer than the platform's
// store is usually away.
const keepWindows = 12

// Counts are requests by workspace.
type Counts map[string]int64

// Meter counts at one node. It is safe for concurrent use.
type Meter struct {
	length time.Duration
	now    func() time.Time

	mu      sync.Mutex
	windows map[int64]Counts
}

// NewMeter returns a meter of windows of the length, by the fleet's time.
func NewMeter(length time.Duration, now func() time.Time) *Meter {
	return &Meter{length: length, now: now, windows: make(map[int64]Counts)}
}

// Window is the number of the window of the time; window 0 begins with the year 1970.
func Window(at time.Time, length time.Duration) int64 { return at.UnixNano() / int64(length) }

// End is when the window ends.
func End(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// Began counts a request of the workspace that began to run now.
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
		m.forget(window - keepWindows)
	}
	counts[workspace]++
}

// forget drops the windows up to the last one. The lock is held.
func (m *Meter) forget(last int64) {
	for window := range m.windows {
		if window <= last {
			delete(m.windows, window)
		}
	}
}

// Since is what was counted in the windows from the first one on.
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
