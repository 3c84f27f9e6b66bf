package memstore

import (
	"strings"

	"galenatrestle/internal/platform"
)

// visibility says how a logged event shows in watches.
type visibility int

const (
	visible visibility = iota
	// missing events are left out silently.
	missing
	// gap events are left out, and the batch says Gap.
	gap
)

// record is one logged event.
type record struct {
	event      platform.Event
	visibility visibility
}

// eventLog keeps the newest events within its bounds.
type eventLog struct {
	maxEvents int
	maxBytes  int

	records []record
	bytes   int
	// floor is the newest revision that the log no longer holds.
	floor int64
}

// newEventLog returns an empty log with the bounds.
func newEventLog(maxEvents, maxBytes int) *eventLog {
	return &eventLog{maxEvents: maxEvents, maxBytes: maxBytes}
}

// add appends an event and drops the oldest ones beyond the bounds.
func (l *eventLog) add(r record) {
	l.records = append(l.records, r)
	l.bytes += len(r.event.Value)
	for len(l.records) > l.maxEvents || l.bytes > l.maxBytes {
		l.dropOldest()
	}
}

// dropOldest removes the oldest record.
func (l *eventLog) dropOldest() {
	oldest := l.records[0]
	l.records[0] = record{}
	l.records = l.records[1:]
	l.bytes -= len(oldest.event.Value)
	l.floor = oldest.event.Revision
}

// reset empties the log: revisions up to floor are no longer known.
func (l *eventLog) reset(floor int64) {
	l.records = nil
	l.bytes = 0
	l.floor = floor
}

// since collects the visible events with the prefix after the revision; it
// reports a gap where the log does not hold them all.
func (l *eventLog) since(prefix string, after int64) (events []platform.Event, gapped bool) {
	if after < l.floor {
		return nil, true
	}
	for i := l.firstAfter(after); i < len(l.records); i++ {
		r := l.records[i]
		if !strings.HasPrefix(r.event.Key, prefix) {
			continue
		}
		switch r.visibility {
		case gap:
			return nil, true
		case visible:
			event := r.event
			event.Entry = clone(event.Entry)
			events = append(events, event)
		}
	}
	return events, false
}

// firstAfter returns the index of the first record after the revision.
// Records are one a revision, without holes.
func (l *eventLog) firstAfter(after int64) int {
	return int(after - l.floor)
}
