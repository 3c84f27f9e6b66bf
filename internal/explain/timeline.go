package explain

import (
	"container/list"
	"fmt"
	"time"
	"unsafe"
)

const (
	// maxEvents bounds a timeline's events, beside the one that ends it.
	maxEvents = 48
	// usualEvents is how many events a request usually has.
	usualEvents = 8
	// entryBytes is what a place for an event costs.
	entryBytes = int(unsafe.Sizeof(entry{}))
	// overheadBytes is what a timeline costs beside its id and its events: itself,
	// its place in the order and its part of the table.
	overheadBytes = int(unsafe.Sizeof(Timeline{})) + int(unsafe.Sizeof(list.Element{})) + 64
)

// Timeline is one request's events in their order. A nil Timeline takes none. It is
// safe for concurrent use.
type Timeline struct {
	shard   *shard
	id      string
	arrived time.Time
	entries []entry
	// dropped counts the events for which there was no room.
	dropped int
	bytes   int
	// evicted timelines take no more events.
	evicted bool
}

// entry is an event and how long after the arrival it happened.
type entry struct {
	after time.Duration
	event Event
}

// Add appends an event that happens at now.
func (s *Timeline) Add(now time.Time, event Event) {
	if s == nil {
		return
	}
	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()
	if s.evicted {
		return
	}
	if len(s.entries) >= maxEvents && !last(event) {
		s.dropped++
		return
	}
	places := cap(s.entries)
	s.entries = append(s.entries, entry{after: now.Sub(s.arrived), event: event})
	s.shard.account(s, (cap(s.entries)-places)*entryBytes+event.size())
	s.shard.makeRoom()
}

// lines tells the timeline; the shard is locked.
func (s *Timeline) lines() []Line {
	lines := make([]Line, 0, len(s.entries)+1)
	for _, e := range s.entries {
		line := e.event.line()
		line.At = s.arrived.Add(e.after)
		lines = append(lines, line)
	}
	if s.dropped > 0 {
		lines = append(lines, Line{
			At: s.arrived, Step: "explain", Decision: "events left out",
			Reason: fmt.Sprintf("%d events over the bound of %d", s.dropped, maxEvents),
		})
	}
	return lines
}
