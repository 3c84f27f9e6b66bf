package returns

import (
	"slices"
	"sync"
	"time"

	"galenatrestle/internal/quarantine"
)

const (
	// keepTime is how long an entry is kept after this node has learned of it.
	keepTime = 5 * time.Second
	// maxEntries bounds the table; the oldest entries are dropped. It holds the refusals of 5 s at 800 a
	// second, more than both planned deployments receive calls with prompts.
	maxEntries = 4096
	// MaxAnnounced bounds the entries of one message.
	MaxAnnounced = 256
	// earlyTolerance is how much earlier than told a caller may return. The times of entries from other
	// nodes are late by the time that messages take, up to some tens of milliseconds on busy nodes.
	earlyTolerance = 100 * time.Millisecond
)

// Table is the callers that were told to return. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// records are in the order in which this node learned of them; the first one has the sequence number
	// first.
	records       []*record
	first         uint64
	byKey         map[key]*record
	byFingerprint map[quarantine.Fingerprint][]*record
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{first: 1, byKey: make(map[key]*record), byFingerprint: make(map[quarantine.Fingerprint][]*record)}
}

// Add adds an entry that this node learned from the named node; empty: it told the caller itself. A known
// entry is not changed.
func (t *Table) Add(now time.Time, e Entry, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if t.byKey[e.key()] != nil {
		return
	}
	if len(t.records) >= maxEntries {
		t.dropOldest()
	}
	r := &record{Entry: e, learnedAt: now, from: from}
	t.records = append(t.records, r)
	t.byKey[e.key()] = r
	t.byFingerprint[e.Fingerprint] = append(t.byFingerprint[e.Fingerprint], r)
}

// Arrive decides on a call that has just arrived. A caller that returns as told uses up its entry.
func (t *Table) Arrive(now time.Time, f quarantine.Fingerprint) Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var next *record
	for _, r := range t.byFingerprint[f] {
		if !r.used && (next == nil || r.DueAt.Before(next.DueAt)) {
			next = r
		}
	}
	switch {
	case next == nil:
		return Arrival{}
	case now.Before(next.DueAt.Add(-earlyTolerance)):
		return Arrival{Kind: Early, Rest: next.DueAt.Sub(now)}
	default:
		next.used = true
		return Arrival{Kind: AsTold}
	}
}

// Changes returns entries that were learned after the sequence number, except those of the named node and
// those that are already due, oldest first and at most MaxAnnounced. It also returns the sequence number
// after which to go on.
func (t *Table) Changes(now time.Time, after uint64, except string) ([]Entry, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Entry
	start := max(after+1, t.first)
	for i := start; i < t.first+uint64(len(t.records)); i++ {
		r := t.records[i-t.first]
		if len(changes) == MaxAnnounced {
			return changes, i - 1
		}
		if r.DueAt.After(now) && (r.from == "" || r.from != except) {
			changes = append(changes, r.Entry)
		}
	}
	return changes, t.first + uint64(len(t.records)) - 1
}

// Len returns the number of entries.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

func (t *Table) expire(now time.Time) {
	for len(t.records) > 0 && now.Sub(t.records[0].learnedAt) >= keepTime {
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	r := t.records[0]
	t.records[0] = nil
	t.records = t.records[1:]
	t.first++
	delete(t.byKey, r.key())
	rest := slices.DeleteFunc(t.byFingerprint[r.Fingerprint], func(other *record) bool { return other == r })
	if len(rest) == 0 {
		delete(t.byFingerprint, r.Fingerprint)
		return
	}
	t.byFingerprint[r.Fingerprint] = rest
}
