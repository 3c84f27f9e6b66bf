package membership

import (
	"math"
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// mergeGossip takes in what a message carries, its sender aside.
func (t *Table) mergeGossip(now time.Time, g *membershipv1.Gossip) {
	for _, m := range g.GetMembers() {
		t.mergeMember(now, m)
	}
	t.mergeStatus(g.GetStatus())
	for _, s := range g.GetStatuses() {
		t.mergeStatus(s)
	}
	for _, r := range g.GetRegions() {
		t.mergeRegion(now, r)
	}
	for _, n := range g.GetNotes() {
		t.mergeNote(now, n)
	}
	if t.heardRevision(g.GetNewestRevision()) {
		t.regions.tellAll = true
	}
}

// heardRevision notes a newer revision of the configuration and has it pushed
// on; it reports whether it was news.
func (t *Table) heardRevision(revision int64) bool {
	if revision <= t.newestRevision {
		return false
	}
	t.newestRevision = revision
	t.version++
	t.urgent = true
	return true
}

// mergeMember takes in what a peer says of a member. A higher incarnation
// replaces what is known; at the same one the worse liveness wins and leaving
// stays; a lower one is old news.
func (t *Table) mergeMember(now time.Time, m *membershipv1.Member) {
	if m.GetName() == "" || m.GetRegion() != t.self.wire.Region {
		return
	}
	if m.Name == t.self.wire.Name {
		t.mergeSelf(now, m)
		return
	}
	e, ok := t.entries[m.Name]
	switch {
	case !ok:
		t.addMember(now, m)
	case m.Incarnation > e.wire.Incarnation:
		t.replace(now, e, m)
	case m.Incarnation == e.wire.Incarnation:
		t.worsen(now, e, m)
	}
}

func (t *Table) addMember(now time.Time, m *membershipv1.Member) {
	if m.Liveness == dead || len(t.entries) >= MaxMembers {
		return
	}
	e := newEntry(m)
	t.add(e)
	t.setDeadline(now, e)
	t.spread(now, e)
	t.urgent = true
}

func (t *Table) replace(now time.Time, e *entry, m *membershipv1.Member) {
	t.hash ^= e.digest()
	if m.Leaving != e.wire.Leaving || m.Liveness != e.wire.Liveness {
		t.urgent = true
	}
	e.wire = m
	t.hash ^= e.digest()
	t.setDeadline(now, e)
	t.spread(now, e)
}

// worsen joins two opinions of the same incarnation.
func (t *Table) worsen(now time.Time, e *entry, m *membershipv1.Member) {
	leaves := m.Leaving && !e.wire.Leaving
	if m.Liveness <= e.wire.Liveness && !leaves {
		return
	}
	worse := m.Liveness > e.wire.Liveness
	t.change(now, e, func(next *membershipv1.Member) {
		next.Liveness = max(next.Liveness, m.Liveness)
		next.Leaving = next.Leaving || m.Leaving
	})
	t.urgent = true
	if worse {
		t.setDeadline(now, e)
	}
}

// setDeadline starts the time that a member's new liveness allows.
func (t *Table) setDeadline(now time.Time, e *entry) {
	switch e.wire.Liveness {
	case suspect:
		t.counts.Suspicions++
		e.deadline = now.Add(t.suspicionTime())
	case dead:
		t.counts.Deaths++
		e.deadline = now.Add(tombstoneTime)
		t.seeds.addDead(now, e.wire.Name, e.wire.PeerAddress)
	default:
		e.deadline = time.Time{}
	}
}

// suspicionTime grows with the members' number, since a refutation needs more
// rounds, and with the doubt in this node's own link.
func (t *Table) suspicionTime() time.Duration {
	scale := max(1, math.Log10(float64(len(t.entries))))
	return time.Duration(float64(t.settings.SuspicionTimeout) * scale * float64(1+t.awareness))
}

// mergeSelf answers what others say of this node: a doubt is refuted by a
// higher incarnation, and the platform's word that it is leaving, brought by a
// peer, is adopted.
func (t *Table) mergeSelf(now time.Time, m *membershipv1.Member) {
	own := t.self.wire
	if m.Incarnation < own.Incarnation {
		return
	}
	hinted := m.Leaving && m.Incarnation == own.Incarnation && !own.Leaving
	doubted := m.Liveness != alive
	earlierLife := m.Incarnation > own.Incarnation
	if !hinted && !doubted && !earlierLife {
		return
	}
	t.urgent = true
	if doubted {
		t.counts.Refutations++
	}
	if hinted {
		t.leavingSign = now
	}
	t.self.beat = max(t.self.beat, m.Incarnation)
	t.change(now, t.self, func(next *membershipv1.Member) {
		next.Incarnation = m.Incarnation + 1
		next.Leaving = next.Leaving || hinted
	})
}

func (t *Table) mergeStatus(s *membershipv1.Status) {
	if s == nil {
		return
	}
	if t.heardRevision(s.ConfigRevision) {
		t.regions.tellAll = true
	}
	e, ok := t.byID[s.Id]
	if !ok || e == t.self || s.Beat <= e.beat {
		return
	}
	e.beat = s.Beat
	e.load = s.Load
	e.revision = s.ConfigRevision
	e.statusSent = 0
	t.version++
}
