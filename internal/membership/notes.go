package membership

import (
	"errors"
	"slices"
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// Errors of Publish.
var (
	// ErrNoteTooLarge says that a note's value is over MaxNoteBytes.
	ErrNoteTooLarge = errors.New("membership: note too large")
	// ErrTooManyNotes says that MaxNotes are held.
	ErrTooManyNotes = errors.New("membership: too many notes")
)

// noteKey is what a note is about.
type noteKey struct{ kind, key string }

type noteEntry struct {
	wire *membershipv1.Note
	left int
}

// noteTable holds the newest note of each key until it expires.
type noteTable struct {
	entries map[noteKey]*noteEntry
	// fresh are notes from peers not yet given to their package.
	fresh []*membershipv1.Note
}

func newNoteTable() *noteTable {
	return &noteTable{entries: make(map[noteKey]*noteEntry)}
}

// Publish spreads a note to all members of the region at once. A note of a
// lower or the same version than one known is dropped.
func (t *Table) Publish(now time.Time, n *membershipv1.Note) error {
	if len(n.Value) > MaxNoteBytes {
		return ErrNoteTooLarge
	}
	if !t.notes.room(now) {
		return ErrTooManyNotes
	}
	if t.notes.merge(now, n, t.transmissions()) {
		t.urgent = true
	}
	return nil
}

// TakeNotes returns the notes that came from peers since the last call.
func (t *Table) TakeNotes() []*membershipv1.Note {
	fresh := t.notes.fresh
	t.notes.fresh = nil
	return fresh
}

func (t *Table) mergeNote(now time.Time, n *membershipv1.Note) {
	if len(n.GetValue()) > MaxNoteBytes || !t.notes.room(now) {
		return
	}
	if !t.notes.merge(now, n, t.transmissions()) {
		return
	}
	t.notes.fresh = append(t.notes.fresh, n)
	t.urgent = true
}

// room reports whether one more note may be held; it forgets expired ones
// where the table is full.
func (l *noteTable) room(now time.Time) bool {
	if len(l.entries) < MaxNotes {
		return true
	}
	for key, e := range l.entries {
		if expired(now, e.wire) {
			delete(l.entries, key)
		}
	}
	return len(l.entries) < MaxNotes
}

func (l *noteTable) merge(now time.Time, n *membershipv1.Note, transmissions int) bool {
	if expired(now, n) {
		return false
	}
	key := noteKey{kind: n.Kind, key: n.Key}
	if old, ok := l.entries[key]; ok && old.wire.Version >= n.Version {
		return false
	}
	l.entries[key] = &noteEntry{wire: n, left: transmissions}
	return true
}

// take picks the notes least often sent.
func (l *noteTable) take(now time.Time, n int) []*membershipv1.Note {
	var waiting []*noteEntry
	for _, e := range l.entries {
		if e.left > 0 && !expired(now, e.wire) {
			waiting = append(waiting, e)
		}
	}
	slices.SortFunc(waiting, func(a, b *noteEntry) int {
		if a.left != b.left {
			return b.left - a.left
		}
		return compareStrings(a.wire.Kind+a.wire.Key, b.wire.Kind+b.wire.Key)
	})
	waiting = waiting[:min(n, len(waiting))]
	var notes []*membershipv1.Note
	for _, e := range waiting {
		e.left--
		notes = append(notes, e.wire)
	}
	return notes
}

// all returns every note in force.
func (l *noteTable) all(now time.Time) []*membershipv1.Note {
	var notes []*membershipv1.Note
	for _, e := range l.entries {
		if !expired(now, e.wire) {
			notes = append(notes, e.wire)
		}
	}
	return notes
}

func expired(now time.Time, n *membershipv1.Note) bool {
	return n.GetExpires() <= now.UnixMilli()
}
