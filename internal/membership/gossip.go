package membership

import (
	"slices"
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// gossip builds the gossip of a message to a member of this region; recipient is
// nil if unknown. It includes the recipient's entry if that is suspect, dead or
// leaving, so that the recipient can refute it.
func (t *Table) gossip(now time.Time, recipient *entry) *membershipv1.Gossip {
	g := &membershipv1.Gossip{
		Status:         t.self.status(),
		Statuses:       t.takeStatuses(recipient),
		Regions:        t.regions.take(maxSummaries),
		Notes:          t.notes.take(now, maxMessageNotes),
		TableHash:      t.hash,
		NewestRevision: t.newestRevision,
	}
	if recipient != nil && (recipient.record.Liveness != alive || recipient.record.Leaving) {
		g.Members = append(g.Members, recipient.record)
	}
	g.Members = append(g.Members, t.takeUpdates(recipient)...)
	return g
}

// takeUpdates returns the changed members with the most transmissions left, and uses
// up one of each.
func (t *Table) takeUpdates(except *entry) []*membershipv1.Member {
	var pending []*entry
	for _, e := range t.list {
		if e.transmitsLeft > 0 && e != except {
			pending = append(pending, e)
		}
	}
	if len(pending) == 0 {
		return nil
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		if a.transmitsLeft != b.transmitsLeft {
			return b.transmitsLeft - a.transmitsLeft
		}
		return compareNames(a, b)
	})
	pending = pending[:min(maxUpdates, len(pending))]
	members := make([]*membershipv1.Member, len(pending))
	for i, e := range pending {
		e.transmitsLeft--
		members[i] = e.record
	}
	return members
}

// takeStatuses returns the statuses with the fewest transmissions and counts one more
// for each. Those sent gossipRounds times are left out.
func (t *Table) takeStatuses(except *entry) []*membershipv1.Status {
	limit := t.gossipRounds()
	var pending []*entry
	for _, e := range t.list {
		if e != t.self && e != except && e.statusSeq > 0 && e.statusTransmits < limit && e.record.Liveness != dead {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		if a.statusTransmits != b.statusTransmits {
			return a.statusTransmits - b.statusTransmits
		}
		return compareNames(a, b)
	})
	pending = pending[:min(maxStatuses, len(pending))]
	statuses := make([]*membershipv1.Status, len(pending))
	for i, e := range pending {
		e.statusTransmits++
		statuses[i] = e.status()
	}
	return statuses
}

// fullGossip builds gossip with the whole table.
func (t *Table) fullGossip(now time.Time) *membershipv1.Gossip {
	t.counts.FullSyncs++
	g := &membershipv1.Gossip{
		Status:         t.self.status(),
		Regions:        t.regions.all(),
		Notes:          t.notes.all(now),
		TableHash:      t.hash,
		NewestRevision: t.newestRevision,
	}
	for _, e := range t.list {
		g.Members = append(g.Members, e.record)
		if e.statusSeq > 0 {
			g.Statuses = append(g.Statuses, e.status())
		}
	}
	return g
}

func compareNames(a, b *entry) int {
	switch {
	case a.record.Name < b.record.Name:
		return -1
	case a.record.Name > b.record.Name:
		return 1
	default:
		return 0
	}
}
