package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// Table is one node's part of the protocol. It does no I/O and reads no clock:
// callers pass the time, carry its messages and report what became of them.
// It is not safe for concurrent use; Runner holds it under a lock.
type Table struct {
	settings Settings
	rng      *rand.Rand
	self     *entry
	// entries holds the members of the own region by name, self included.
	entries map[string]*entry
	byID    map[uint32]*entry
	// list holds the same entries ordered by name.
	list []*entry
	// order is the current random round of probes.
	order   []string
	seeds   *seedList
	regions *regionTable
	notes   *noteTable

	newestRevision int64
	// hash is the table's digest, kept up with each change.
	hash uint64
	// version grows with each change that a snapshot shows.
	version  int64
	snapshot *Snapshot
	shown    int64

	lastTick    time.Time
	nextProbe   time.Time
	nextSeed    time.Time
	nextStatus  time.Time
	changed     time.Time
	lastWantAll time.Time
	toldLoad    uint32
	awareness   int
	mismatches  int
	// urgent says that there is news which must not wait for the next probe.
	urgent bool
	// stopping says that this node itself decided to leave.
	stopping bool
	// leavingSign is the last sign from the platform that this node leaves.
	leavingSign time.Time
	// askWhole names the member whose whole table is to be asked for.
	askWhole string
	counts   Counts
}

// NewTable returns a table that knows only this node. The incarnation of self
// should be the start's wall clock in milliseconds, so that a restarted VM of
// the same name comes after its earlier life; should it not, the first peer
// that remembers more corrects it.
func NewTable(self Member, settings Settings, rng *rand.Rand, now time.Time) *Table {
	t := &Table{
		settings: settings.withDefaults(),
		rng:      rng,
		entries:  make(map[string]*entry),
		byID:     make(map[uint32]*entry),
		lastTick: now,
		changed:  now,
	}
	t.regions = newRegionTable(self.Region)
	t.seeds = newSeedList()
	t.notes = newNoteTable()
	t.nextProbe = now.Add(t.jitter(t.settings.ProbeInterval))
	t.nextSeed = now
	t.nextStatus = now
	t.regions.next = now.Add(t.jitter(t.settings.RegionInterval))
	t.self = newEntry(&membershipv1.Member{
		Name:             self.Name,
		EntryAddress:     self.EntryAddress,
		PeerAddress:      self.PeerAddress,
		AvailabilityZone: self.AvailabilityZone,
		Region:           self.Region,
		Incarnation:      self.Incarnation,
		Liveness:         alive,
		Leaving:          self.State == StateLeaving,
	})
	// Beats begin at the incarnation, so that an earlier life's statuses,
	// still on their way, are older than this one's.
	t.self.beat = self.Incarnation
	t.self.revision = self.ConfigRevision
	t.newestRevision = self.ConfigRevision
	t.add(t.self)
	return t
}

// Counts are the protocol's events since the start.
type Counts struct {
	Probes, ProbeFailures, IndirectProbes int64
	Suspicions, Refutations, Deaths       int64
	FullSyncs, Pushes, SyncsHandled       int64
}

// Counts returns the events since the start.
func (t *Table) Counts() Counts { return t.counts }

// SetStatus sets this node's own load (part of its slots in use) and the
// configuration revision in force here, which never goes back.
func (t *Table) SetStatus(now time.Time, load float64, revision int64) {
	revision = max(revision, t.self.revision)
	steps := uint32(math.Round(max(load, 0) * loadSteps))
	if t.heardRevision(revision) {
		t.regions.tellAll = true
	}
	moved := max(steps, t.toldLoad) - min(steps, t.toldLoad)
	if moved < loadChange && revision == t.self.revision && now.Before(t.nextStatus) {
		return
	}
	t.toldLoad = steps
	t.self.load = steps
	t.self.revision = revision
	t.self.beat++
	t.self.statusSent = 0
	t.nextStatus = now.Add(t.settings.StatusRefresh)
	t.version++
}

// Leave marks this node as leaving; peers are told at once.
func (t *Table) Leave(now time.Time) {
	t.stopping = true
	t.setSelfLeaving(now, true)
}

// CancelLeave takes a Leave back; the platform's list may still say leaving.
func (t *Table) CancelLeave(now time.Time) {
	t.stopping = false
	t.setSelfLeaving(now, false)
}

func (t *Table) setSelfLeaving(now time.Time, leaving bool) {
	if t.self.wire.Leaving == leaving {
		return
	}
	t.change(now, t.self, func(m *membershipv1.Member) {
		m.Incarnation++
		m.Leaving = leaving
	})
	t.urgent = true
}

// Snapshot returns the current picture; it is the same pointer while nothing
// has changed.
func (t *Table) Snapshot() *Snapshot {
	if t.snapshot != nil && t.shown == t.version {
		return t.snapshot
	}
	s := &Snapshot{self: t.self.member(), revision: t.newestRevision, regions: t.regions.view()}
	for _, e := range t.list {
		if e.wire.Liveness == dead {
			continue
		}
		if !e.wire.Leaving {
			s.serving = append(s.serving, candidate{hash: e.hash, index: len(s.members)})
		}
		s.members = append(s.members, e.member())
	}
	t.snapshot, t.shown = s, t.version
	return s
}

func (t *Table) add(e *entry) {
	t.entries[e.wire.Name] = e
	place, _ := slices.BinarySearchFunc(t.list, e, compareNames)
	t.list = slices.Insert(t.list, place, e)
	t.byID[e.id()] = e
	t.hash ^= e.digest()
	t.version++
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.wire.Name)
	place, _ := slices.BinarySearchFunc(t.list, e, compareNames)
	t.list = slices.Delete(t.list, place, place+1)
	delete(t.byID, e.id())
	t.hash ^= e.digest()
	t.version++
}

// change replaces an entry's member by an edited copy and has it sent on.
// Members are never edited in place: messages under way share them.
func (t *Table) change(now time.Time, e *entry, edit func(*membershipv1.Member)) {
	t.hash ^= e.digest()
	next := cloneMember(e.wire)
	edit(next)
	e.wire = next
	t.hash ^= e.digest()
	t.spread(now, e)
}

func (t *Table) spread(now time.Time, e *entry) {
	e.updateLeft = t.transmissions()
	t.changed = now
	t.version++
}

// transmissions is how often one node sends one change on.
func (t *Table) transmissions() int {
	return transmissionFactor * t.rounds()
}

// rounds is the number of rounds in which news doubles to all members.
func (t *Table) rounds() int {
	return int(math.Ceil(math.Log2(float64(len(t.entries) + 1))))
}

// jitter returns a random time up to d, above zero.
func (t *Table) jitter(d time.Duration) time.Duration {
	return time.Duration(1 + t.rng.Int64N(int64(d)))
}
