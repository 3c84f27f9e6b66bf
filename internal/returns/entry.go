package returns

import (
	"time"

	"galenatrestle/internal/quarantine"
)

// Entry is one caller that was told to return.
type Entry struct {
	Fingerprint quarantine.Fingerprint
	// ID tells apart entries with the same fingerprint.
	ID    uint32
	DueAt time.Time
}

// key identifies an entry.
type key struct {
	fingerprint quarantine.Fingerprint
	id          uint32
}

// record is an entry as this node keeps it.
type record struct {
	Entry
	// learnedAt is when this node learned of the entry, from the node with that name; empty: this node
	// told the caller itself.
	learnedAt time.Time
	from      string
	// used is whether the caller has returned here.
	used bool
}

func (e *Entry) key() key { return key{e.Fingerprint, e.ID} }
