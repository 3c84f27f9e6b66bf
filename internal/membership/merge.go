package membership

import (
	"math"
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

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
	if t.mergeRevision(g.GetNewestRevision()) {
		t.regions.notifyAll = true
	}
}

// mergeRevision records a newer configuration revision and requests a push. It reports
// whether the revision was newer.
func (t *Table) mergeRevision(revision int64) bool {
	if revision <= t.newestRevision {
		return false
	}
	t.newestRevision = revision
	t.version++
	t.pushPending = true
	return true
}

// mergeMember merges a peer's record of a member. A record with a higher incarnation
// replaces the known one. At the same incarnation the worse liveness is kept, and a
// member that is leaving in either record is leaving.
func (t *Table) mergeMember(now time.Time, m *membershipv1.Member) {
	if m.GetName() == "" || m.GetRegion() != t.self.record.Region {
		return
	}
	if m.Name == t.self.record.Name {
		t.mergeSelf(now, m)
		return
	}
	e, ok := t.entries[m.Name]
	switch {
	case !ok:
		t.addMember(now, m)
	case m.Incarnation > e.record.Incarnation:
		t.replaceMember(now, e, m)
	case m.Incarnation == e.record.Incarnation:
		t.mergeSameIncarnation(now, e, m)
	}
}

func (t *Table) addMember(now time.Time, m *membershipv1.Member) {
	if m.Liveness == dead || len(t.entries) >= MaxMembers {
		return
	}
	e := newEntry(m)
	t.add(e)
	t.applyLiveness(now, e)
	t.scheduleUpdate(now, e)
	t.pushPending = true
}

func (t *Table) replaceMember(now time.Time, e *entry, m *membershipv1.Member) {
	t.hash ^= e.digest()
	if m.Leaving != e.record.Leaving || m.Liveness != e.record.Liveness {
		t.pushPending = true
	}
	e.record = m
	t.hash ^= e.digest()
	t.applyLiveness(now, e)
	t.scheduleUpdate(now, e)
}

func (t *Table) mergeSameIncarnation(now time.Time, e *entry, m *membershipv1.Member) {
	startsLeaving := m.Leaving && !e.record.Leaving
	if m.Liveness <= e.record.Liveness && !startsLeaving {
		return
	}
	worse := m.Liveness > e.record.Liveness
	t.updateMember(now, e, func(next *membershipv1.Member) {
		next.Liveness = max(next.Liveness, m.Liveness)
		next.Leaving = next.Leaving || m.Leaving
	})
	t.pushPending = true
	if worse {
		t.applyLiveness(now, e)
	}
}

// applyLiveness sets the entry's deadline for its current liveness and counts
// suspicions and deaths. The address of a dead member becomes a seed.
func (t *Table) applyLiveness(now time.Time, e *entry) {
	switch e.record.Liveness {
	case suspect:
		t.counts.Suspicions++
		e.deadline = now.Add(t.suspicionTimeout())
	case dead:
		t.counts.Deaths++
		e.deadline = now.Add(tombstoneTTL)
		t.seeds.addDead(now, e.record.Name, e.record.PeerAddress)
	default:
		e.deadline = time.Time{}
	}
}

// suspicionTimeout grows with the number of members, as a refutation needs more
// rounds, and with this node's failed probes, as its own link may be at fault.
func (t *Table) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(t.entries))))
	return time.Duration(float64(t.settings.SuspicionTimeout) * scale * float64(1+t.awareness))
}

// mergeSelf merges a peer's record of this node. It refutes a suspicion, or a record
// from before a restart, by taking a higher incarnation than the record. It accepts
// a report that this node is leaving.
func (t *Table) mergeSelf(now time.Time, m *membershipv1.Member) {
	own := t.self.record
	if m.Incarnation < own.Incarnation {
		return
	}
	reportedLeaving := m.Leaving && m.Incarnation == own.Incarnation && !own.Leaving
	suspected := m.Liveness != alive
	higherIncarnation := m.Incarnation > own.Incarnation
	if !reportedLeaving && !suspected && !higherIncarnation {
		return
	}
	t.pushPending = true
	if suspected {
		t.counts.Refutations++
	}
	if reportedLeaving {
		t.lastLeavingReport = now
	}
	// As in NewTable, statuses from before a restart must be older.
	t.self.statusSeq = max(t.self.statusSeq, m.Incarnation)
	t.updateMember(now, t.self, func(next *membershipv1.Member) {
		next.Incarnation = m.Incarnation + 1
		next.Leaving = next.Leaving || reportedLeaving
	})
}

func (t *Table) mergeStatus(s *membershipv1.Status) {
	if s == nil {
		return
	}
	if t.mergeRevision(s.ConfigRevision) {
		t.regions.notifyAll = true
	}
	e, ok := t.byID[s.Id]
	if !ok || e == t.self || s.Beat <= e.statusSeq {
		return
	}
	e.statusSeq = s.Beat
	e.load = s.Load
	e.configRevision = s.ConfigRevision
	e.statusTransmits = 0
	t.version++
}
