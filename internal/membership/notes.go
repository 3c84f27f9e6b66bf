package membership

import (
	"errors"
	"slices"
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

var (
	// ErrNoteTooLarge means that the value is longer than MaxNoteBytes.
	ErrNoteTooLarge = errors.New("membership: note value exceeds the size limit")
	// ErrTooManyNotes means that the table has MaxNotes unexpired notes.
	ErrTooManyNotes = errors.New("membership: note table is full")
)

type noteKey struct{ kind, key string }

type noteEntry struct {
	note          *membershipv1.Note
	transmitsLeft int
}

// noteTable stores the newest note of each key until it expires.
type noteTable struct {
	entries map[noteKey]*noteEntry
	// undelivered are notes from peers for the next TakeNotes.
	undelivered []*membershipv1.Note
}

func newNoteTable() *noteTable {
	return &noteTable{entries: make(map[noteKey]*noteEntry)}
}

// Publish sends a note to all members of the region. A note whose version is not
// higher than the known one is dropped without an error, as is an expired one.
func (t *Table) Publish(now time.Time, n *membershipv1.Note) error {
	if len(n.Value) > MaxNoteBytes {
		return ErrNoteTooLarge
	}
	if !t.notes.hasRoom(now) {
		return ErrTooManyNotes
	}
	if t.notes.merge(now, n, t.retransmitLimit()) {
		t.pushPending = true
	}
	return nil
}

// TakeNotes returns the notes received from peers since the last call.
func (t *Table) TakeNotes() []*membershipv1.Note {
	taken := t.notes.undelivered
	t.notes.undelivered = nil
	return taken
}

func (t *Table) mergeNote(now time.Time, n *membershipv1.Note) {
	if len(n.GetValue()) > MaxNoteBytes || !t.notes.hasRoom(now) {
		return
	}
	if !t.notes.merge(now, n, t.retransmitLimit()) {
		return
	}
	t.notes.undelivered = append(t.notes.undelivered, n)
	t.pushPending = true
}

// hasRoom reports whether a note fits, after removing expired ones if necessary.
func (l *noteTable) hasRoom(now time.Time) bool {
	if len(l.entries) < MaxNotes {
		return true
	}
	for key, e := range l.entries {
		if expired(now, e.note) {
			delete(l.entries, key)
		}
	}
	return len(l.entries) < MaxNotes
}

// merge stores a note if it is newer, and reports whether it did.
func (l *noteTable) merge(now time.Time, n *membershipv1.Note, transmits int) bool {
	if expired(now, n) {
		return false
	}
	key := noteKey{kind: n.Kind, key: n.Key}
	if old, ok := l.entries[key]; ok && old.note.Version >= n.Version {
		return false
	}
	l.entries[key] = &noteEntry{note: n, transmitsLeft: transmits}
	return true
}

// take returns up to n notes with the most transmissions left, and uses up one of each.
func (l *noteTable) take(now time.Time, n int) []*membershipv1.Note {
	var pending []*noteEntry
	for _, e := range l.entries {
		if e.transmitsLeft > 0 && !expired(now, e.note) {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *noteEntry) int {
		if a.transmitsLeft != b.transmitsLeft {
			return b.transmitsLeft - a.transmitsLeft
		}
		return compareStrings(a.note.Kind+a.note.Key, b.note.Kind+b.note.Key)
	})
	pending = pending[:min(n, len(pending))]
	var notes []*membershipv1.Note
	for _, e := range pending {
		e.transmitsLeft--
		notes = append(notes, e.note)
	}
	return notes
}

func (l *noteTable) all(now time.Time) []*membershipv1.Note {
	var notes []*membershipv1.Note
	for _, e := range l.entries {
		if !expired(now, e.note) {
			notes = append(notes, e.note)
		}
	}
	return notes
}

func expired(now time.Time, n *membershipv1.Note) bool {
	return n.GetExpires() <= now.UnixMilli()
}
