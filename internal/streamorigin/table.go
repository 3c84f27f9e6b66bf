package streamorigin

import (
	"sync"
	"time"

	"galenatrestle/internal/boottime"
)

const (
	// maxRecords bounds the records of a node. A record takes about 100 bytes.
	maxRecords = 1 << 16
	// pruneInterval is the time between two removals of expired records.
	pruneInterval = time.Second
)

// table has the records that a node knows. It is safe for concurrent use.
type table struct {
	mu       sync.RWMutex
	records  map[StreamID]Record
	prunedAt boottime.Instant
}

func newTable() *table { return &table{records: make(map[StreamID]Record)} }

// add adds a record unless the table is full. The first origin of a stream stays.
func (t *table) add(r Record, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.prunedAt) >= pruneInterval {
		t.prune(now)
	}
	old, known := t.records[r.Stream]
	switch {
	case r.Stream == 0 || !known && len(t.records) >= maxRecords:
	case !known || now >= old.Until:
		t.records[r.Stream] = r
	case r.Until > old.Until:
		old.Until = r.Until
		t.records[r.Stream] = old
	}
}

// prune removes expired records. The lock is held.
func (t *table) prune(now boottime.Instant) {
	t.prunedAt = now
	for id, r := range t.records {
		if now >= r.Until {
			delete(t.records, id)
		}
	}
}

func (t *table) find(id StreamID, now boottime.Instant) (Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, known := t.records[id]
	return r, known && now < r.Until
}

func (t *table) size() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.records)
}
