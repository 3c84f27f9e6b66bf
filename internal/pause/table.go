package pause

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"galenatrestle/internal/replica"
)

// MaxLength bounds a pause, so that a faulty value does not keep a replica unused for good.
const MaxLength = time.Hour

// Table is the pauses of all replicas. It is safe for concurrent use; the zero value is an empty
// table.
type Table struct {
	mu sync.Mutex
	// current is replaced by each change; stored maps are immutable.
	current atomic.Pointer[Pauses]
}

// Pauses is when the pauses end, by process. Ends in the past mean nothing.
type Pauses map[replica.Process]time.Time

// Begin records that the process refused a request at the given time and asked for a pause. A
// pause that ends later than this one remains.
func (t *Table) Begin(now time.Time, process replica.Process, length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pauses := make(Pauses)
	maps.Copy(pauses, t.Current())
	maps.DeleteFunc(pauses, func(_ replica.Process, end time.Time) bool { return !end.After(now) })
	if end := now.Add(min(length, MaxLength)); end.After(pauses[process]) {
		pauses[process] = end
	}
	t.current.Store(&pauses)
}

// Current returns the pauses. The map is shared and must not be modified.
func (t *Table) Current() Pauses {
	pauses := t.current.Load()
	if pauses == nil {
		return nil
	}
	return *pauses
}

// Count returns the number of replicas whose pause has not ended.
func (t *Table) Count(now time.Time) int {
	count := 0
	for _, end := range t.Current() {
		if end.After(now) {
			count++
		}
	}
	return count
}

// End returns when the replica's pause ends. A time in the past means that it has none.
func (p Pauses) End(r *replica.Replica) time.Time {
	if len(p) == 0 {
		return time.Time{}
	}
	return p[r.Process()]
}
