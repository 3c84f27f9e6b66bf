package membership

import (
	"slices"
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// gossip composes what a message to a member of the own region carries. about
// is that member's entry, or nil where it is unknown: it is told first what is
// believed of itself, so that it can refute.
func (t *Table) gossip(now time.Time, about *entry) *membershipv1.Gossip {
	g := &membershipv1.Gossip{
		Status:         t.self.status(),
		Statuses:       t.takeStatuses(about),
		Regions:        t.regions.take(maxSummaries),
		Notes:          t.notes.take(now, maxMessageNotes),
		TableHash:      t.hash,
		NewestRevision: t.newestRevision,
	}
	if about != nil && (about.wire.Liveness != alive || about.wire.Leaving) {
		g.Members = append(g.Members, about.wire)
	}
	g.Members = append(g.Members, t.takeUpdates(about)...)
	return g
}

// takeUpdates picks the member changes least often sent.
func (t *Table) takeUpdates(except *entry) []*membershipv1.Member {
	var waiting []*entry
	for _, e := range t.list {
		if e.updateLeft > 0 && e != except {
			waiting = append(waiting, e)
		}
	}
	if len(waiting) == 0 {
		return nil
	}
	slices.SortFunc(waiting, func(a, b *entry) int {
		if a.updateLeft != b.updateLeft {
			return b.updateLeft - a.updateLeft
		}
		return compareNames(a, b)
	})
	waiting = waiting[:min(maxUpdates, len(waiting))]
	members := make([]*membershipv1.Member, len(waiting))
	for i, e := range waiting {
		e.updateLeft--
		members[i] = e.wire
	}
	return members
}

// takeStatuses picks the statuses least often sent, newest first.
func (t *Table) takeStatuses(except *entry) []*membershipv1.Status {
	limit := t.rounds()
	var waiting []*entry
	for _, e := range t.list {
		if e != t.self && e != except && e.beat > 0 && e.statusSent < limit && e.wire.Liveness != dead {
			waiting = append(waiting, e)
		}
	}
	slices.SortFunc(waiting, func(a, b *entry) int {
		if a.statusSent != b.statusSent {
			return a.statusSent - b.statusSent
		}
		return compareNames(a, b)
	})
	waiting = waiting[:min(maxStatuses, len(waiting))]
	statuses := make([]*membershipv1.Status, len(waiting))
	for i, e := range waiting {
		e.statusSent++
		statuses[i] = e.status()
	}
	return statuses
}

// wholeGossip carries the whole table.
func (t *Table) wholeGossip(now time.Time) *membershipv1.Gossip {
	t.counts.FullSyncs++
	g := &membershipv1.Gossip{
		Status:         t.self.status(),
		Regions:        t.regions.all(),
		Notes:          t.notes.all(now),
		TableHash:      t.hash,
		NewestRevision: t.newestRevision,
	}
	for _, e := range t.list {
		g.Members = append(g.Members, e.wire)
		if e.beat > 0 {
			g.Statuses = append(g.Statuses, e.status())
		}
	}
	return g
}

func compareNames(a, b *entry) int {
	switch {
	case a.wire.Name < b.wire.Name:
		return -1
	case a.wire.Name > b.wire.Name:
		return 1
	default:
		return 0
	}
}
