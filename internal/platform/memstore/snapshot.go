package memstore

import (
	"maps"

	"galenatrestle/internal/platform"
)

// Snapshot is a copy of the keys for Restore. Leases are not in it.
type Snapshot struct {
	entries  map[string]platform.Entry
	revision int64
}

// Snapshot copies the keys. It counts as no call.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{entries: maps.Clone(s.entries), revision: s.revision}
}

// Restore puts the store back to an older state, as after a loss on the
// platform's side: the revision goes back with the keys, and watches that
// have seen a newer one get a Gap.
func (s *Store) Restore(snapshot Snapshot) {
	s.mu.Lock()
	s.entries = maps.Clone(snapshot.entries)
	s.revision = snapshot.revision
	s.log.reset(snapshot.revision)
	s.mu.Unlock()
	s.wakeAll()
}
