package routesource

import (
	"sync"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/route"
)

// Snapshot is the table in force and its proof. Its fields are not changed.
type Snapshot struct {
	// Table is nil as long as none is known.
	Table *route.Table
	// Document is the encoded document that the table was built from.
	Document []byte
	// ProvenAt is an instant at which the table was the newest, or without a table
	// one at which there was no document.
	ProvenAt boottime.Instant
}

// Version is the table's version; zero where there is none.
func (s Snapshot) Version() int64 {
	if s.Table == nil {
		return 0
	}
	return s.Table.Version
}

// neverProven is the age where nothing was ever read: older than any node is.
const neverProven = 100 * 365 * 24 * time.Hour

// Age is the time since the table was known to be the newest, or that there is none.
func (s Snapshot) Age(now boottime.Instant) time.Duration {
	if s.ProvenAt == 0 {
		return neverProven
	}
	return now.Sub(s.ProvenAt)
}

// Current holds the newest table. It is safe for concurrent use.
type Current struct {
	decode func([]byte) (*route.Document, error)

	mu       sync.RWMutex
	snapshot Snapshot
}

// New returns a holder without a table; decode reads an encoded document.
func New(decode func([]byte) (*route.Document, error)) *Current {
	return &Current{decode: decode}
}

// Get returns the snapshot in force.
func (c *Current) Get() Snapshot {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.snapshot
}

// Take takes an encoded document that was the newest at provenAt. It reports
// whether the table changed. A document that cannot be decoded changes nothing.
func (c *Current) Take(document []byte, provenAt boottime.Instant) (bool, error) {
	if c.same(document, provenAt) {
		return false, nil
	}
	decoded, err := c.decode(document)
	if err != nil {
		return false, err
	}
	table := route.NewTable(decoded)
	c.mu.Lock()
	defer c.mu.Unlock()
	if table.Version <= c.snapshot.Version() {
		c.prove(table.Version, provenAt)
		return false, nil
	}
	c.snapshot = Snapshot{Table: table, Document: document, ProvenAt: provenAt}
	return true, nil
}

// same says whether the document is the one in force, whose proof it then
// renews without decoding it again.
func (c *Current) same(document []byte, provenAt boottime.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot.Table == nil || string(c.snapshot.Document) != string(document) {
		return false
	}
	c.prove(c.snapshot.Version(), provenAt)
	return true
}

// Prove notes that the version was the newest at provenAt, as another node has
// proved; version zero: that there was no document. It says nothing about an older
// version than the one in force.
func (c *Current) Prove(version int64, provenAt boottime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prove(version, provenAt)
}

// prove renews the proof. The lock is held.
func (c *Current) prove(version int64, provenAt boottime.Instant) {
	if version != c.snapshot.Version() {
		return
	}
	c.snapshot.ProvenAt = max(c.snapshot.ProvenAt, provenAt)
}
