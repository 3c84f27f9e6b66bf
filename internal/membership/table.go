package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// Table is one node's state in the protocol. It does no I/O and reads no clock:
// callers pass the time, send the calls it returns and report their outcomes. It is
// not safe for concurrent use.
type Table struct {
	settings Settings
	rng      *rand.Rand
	self     *entry
	// entries maps names to the members of this region, self included.
	entries map[string]*entry
	byID    map[uint32]*entry
	// list has the same entries, ordered by name.
	list []*entry
	// probeQueue is the rest of the current round of probes.
	probeQueue []string
	seeds      *seedList
	regions    *regionTable
	notes      *noteTable

	newestRevision int64
	// hash is the exclusive or of the entries' digests.
	hash uint64
	// version increases with each change that is visible in a snapshot.
	version         int64
	snapshot        *Snapshot
	snapshotVersion int64

	lastTick       time.Time
	nextProbe      time.Time
	nextSeed       time.Time
	nextStatus     time.Time
	lastChange     time.Time
	lastFullSync   time.Time
	advertisedLoad uint32
	// awareness is Lifeguard's local health score, 0 if healthy; see maxAwareness.
	awareness      int
	hashMismatches int
	// pushPending requests a push of urgent changes at the next tick.
	pushPending bool
	// leaveRequested means that Leave was called, so that the platform's list must not
	// clear leaving.
	leaveRequested bool
	// lastLeavingReport is when the platform's list or a peer last reported this node
	// as leaving.
	lastLeavingReport time.Time
	// fullSyncTarget is the member whose whole table the next tick requests.
	fullSyncTarget string
	counts         Counts
}

// NewTable returns a table with only this node. self.Incarnation should be the
// start time in Unix milliseconds, so that it is higher than before a restart. If
// it is not, mergeSelf raises it when a peer sends a higher one.
func NewTable(self Member, settings Settings, rng *rand.Rand, now time.Time) *Table {
	t := &Table{
		settings:   settings.withDefaults(),
		rng:        rng,
		entries:    make(map[string]*entry),
		byID:       make(map[uint32]*entry),
		lastTick:   now,
		lastChange: now,
	}
	t.regions = newRegionTable(self.Region)
	t.seeds = newSeedList()
	t.notes = newNoteTable()
	t.nextProbe = now.Add(t.jitter(t.settings.ProbeInterval))
	t.nextSeed = now
	t.nextStatus = now
	t.regions.nextExchange = now.Add(t.jitter(t.settings.RegionInterval))
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
	// The sequence starts at the incarnation, so that delayed statuses from before
	// a restart are older.
	t.self.statusSeq = self.Incarnation
	t.self.configRevision = self.ConfigRevision
	t.newestRevision = self.ConfigRevision
	t.add(t.self)
	return t
}

// Counts are the numbers of protocol events since the start.
type Counts struct {
	Probes, ProbeFailures, IndirectProbes int64
	Suspicions, Refutations, Deaths       int64
	FullSyncs, Pushes, SyncsHandled       int64
}

// Counts returns the event counts since the start.
func (t *Table) Counts() Counts { return t.counts }

// SetStatus sets this node's load (fraction of slots in use) and active
// configuration revision, which never decreases. Small changes of load wait for
// StatusRefresh.
func (t *Table) SetStatus(now time.Time, load float64, revision int64) {
	revision = max(revision, t.self.configRevision)
	steps := uint32(math.Round(max(load, 0) * loadSteps))
	if t.mergeRevision(revision) {
		t.regions.notifyAll = true
	}
	loadDelta := max(steps, t.advertisedLoad) - min(steps, t.advertisedLoad)
	if loadDelta < minLoadChange && revision == t.self.configRevision && now.Before(t.nextStatus) {
		return
	}
	t.advertisedLoad = steps
	t.self.load = steps
	t.self.configRevision = revision
	t.self.statusSeq++
	t.self.statusTransmits = 0
	t.nextStatus = now.Add(t.settings.StatusRefresh)
	t.version++
}

// Leave marks this node as leaving and pushes that to peers.
func (t *Table) Leave(now time.Time) {
	t.leaveRequested = true
	t.setSelfLeaving(now, true)
}

// CancelLeave reverts Leave; the platform's list may mark the node as leaving
// again.
func (t *Table) CancelLeave(now time.Time) {
	t.leaveRequested = false
	t.setSelfLeaving(now, false)
}

func (t *Table) setSelfLeaving(now time.Time, leaving bool) {
	if t.self.record.Leaving == leaving {
		return
	}
	t.updateMember(now, t.self, func(m *membershipv1.Member) {
		m.Incarnation++
		m.Leaving = leaving
	})
	t.pushPending = true
}

// Snapshot returns the current view, which is the same pointer until a change.
func (t *Table) Snapshot() *Snapshot {
	if t.snapshot != nil && t.snapshotVersion == t.version {
		return t.snapshot
	}
	s := &Snapshot{self: t.self.member(), newestConfigRevision: t.newestRevision, regions: t.regions.view()}
	for _, e := range t.list {
		if e.record.Liveness == dead {
			continue
		}
		if !e.record.Leaving {
			s.serving = append(s.serving, candidate{hash: e.hash, index: len(s.members)})
		}
		s.members = append(s.members, e.member())
	}
	t.snapshot, t.snapshotVersion = s, t.version
	return s
}

func (t *Table) add(e *entry) {
	t.entries[e.record.Name] = e
	index, _ := slices.BinarySearchFunc(t.list, e, compareNames)
	t.list = slices.Insert(t.list, index, e)
	t.byID[e.id()] = e
	t.hash ^= e.digest()
	t.version++
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.record.Name)
	index, _ := slices.BinarySearchFunc(t.list, e, compareNames)
	t.list = slices.Delete(t.list, index, index+1)
	delete(t.byID, e.id())
	t.hash ^= e.digest()
	t.version++
}

// updateMember replaces an entry's record with a modified copy and schedules its
// transmission.
func (t *Table) updateMember(now time.Time, e *entry, edit func(*membershipv1.Member)) {
	t.hash ^= e.digest()
	next := cloneMember(e.record)
	edit(next)
	e.record = next
	t.hash ^= e.digest()
	t.scheduleUpdate(now, e)
}

func (t *Table) scheduleUpdate(now time.Time, e *entry) {
	e.transmitsLeft = t.retransmitLimit()
	t.lastChange = now
	t.version++
}

func (t *Table) retransmitLimit() int {
	return retransmitFactor * t.gossipRounds()
}

// gossipRounds returns the number of rounds in which a change reaches all members if
// each round doubles the number of members that know it.
func (t *Table) gossipRounds() int {
	return int(math.Ceil(math.Log2(float64(len(t.entries) + 1))))
}

// jitter returns a random duration in (0, d].
func (t *Table) jitter(d time.Duration) time.Duration {
	return time.Duration(1 + t.rng.Int64N(int64(d)))
}
