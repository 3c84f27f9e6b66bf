package quarantine

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"galenatrestle/internal/ctxtime"
)

const (
	// provenCrashes is the number of crashes after which a request is the cause even if
	// other suspects ran on each of the replicas.
	provenCrashes = 4
	// trialSpread is the time over which nodes begin trials after a quarantine, so that the
	// others learn of the first one's result before they begin their own.
	trialSpread = time.Minute
	// sameCrashTime is the time within which reports of one replica are of the same crash.
	sameCrashTime = time.Second
	// suspicionDuration is how long an unresolved suspicion lasts.
	suspicionDuration = 10 * time.Minute
	// DefaultMaxRecords is the default limit of records; the least recently used
	// are evicted first.
	DefaultMaxRecords = 4096
)

// quarantines are the lengths of the quarantines after the second, third, fourth and further
// crashes. The first ones are short, because up to three crashes may be a coincidence.
var quarantines = []time.Duration{10 * time.Second, 20 * time.Second, 10 * time.Minute, 2 * time.Hour, 24 * time.Hour}

// Tracker stores the records of this node. It is safe for concurrent use.
type Tracker struct {
	node       string
	maxRecords int
	// count is the number of records, read without the lock.
	count atomic.Int64

	mu      sync.Mutex
	records map[Fingerprint]*list.Element // of Record
	// recent has the most recently used record first.
	recent *list.List
}

// NewTracker returns the tracker of the named node, with at most maxRecords records; zero
// means DefaultMaxRecords. A node without a name begins trials at once.
func NewTracker(node string, maxRecords int) *Tracker {
	if maxRecords == 0 {
		maxRecords = DefaultMaxRecords
	}
	return &Tracker{
		node:       node,
		maxRecords: maxRecords,
		records:    make(map[Fingerprint]*list.Element),
		recent:     list.New(),
	}
}

// Decide returns how the request may run and, for Refuse, for how long it is
// refused.
func (t *Tracker) Decide(now time.Time, fp Fingerprint) (Verdict, time.Duration) {
	if t.count.Load() == 0 {
		return Normal, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.get(fp)
	if !ok {
		return Normal, 0
	}
	delay := t.trialDelay(fp)
	verdict := r.verdict(now, delay)
	if verdict == Refuse {
		return verdict, r.Until.Add(delay).Sub(now)
	}
	return verdict, 0
}

// trialDelay returns how long this node waits for its first trial after a quarantine. It
// differs between nodes and between requests.
func (t *Tracker) trialDelay(fp Fingerprint) time.Duration {
	if t.node == "" {
		return 0
	}
	return time.Duration(uint64(FingerprintOf(t.node, fp.String(), nil)) % uint64(trialSpread))
}

// Crash records that the replica crashed while it ran the requests. A request is quarantined
// if it was the only suspect or has crashed provenCrashes replicas; the others become
// suspects. It returns the changed records, to be sent to the peers.
func (t *Tracker) Crash(now time.Time, replica string, running []Fingerprint) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	replicaHash := uint32(FingerprintOf(replica, "", nil))
	distinct := make(map[Fingerprint]bool, len(running))
	for _, fp := range running {
		if !t.knowsCrash(now, replicaHash, fp) {
			distinct[fp] = true
		}
	}
	suspects := 0
	for fp := range distinct {
		if t.isSuspect(now, fp) {
			suspects++
		}
	}
	changed := make([]Record, 0, len(distinct))
	for fp := range distinct {
		onlySuspect := suspects == 1 && t.isSuspect(now, fp)
		changed = append(changed, t.recordCrash(now, replicaHash, fp, onlySuspect))
	}
	return changed
}

const (
	// coincidenceTime is the time after a crash in which the next replica that a request is sent to may
	// have crashed of the same cause, as of a failed rack.
	coincidenceTime = 100 * time.Millisecond
	// minCrashRun is the time that a request takes at least to reach a replica and to begin there.
	minCrashRun = 5 * time.Millisecond
)

// CrashOf is Crash for the runs that the crash ended. It leaves out requests that cannot be the cause.
func (t *Tracker) CrashOf(now time.Time, replica string, ended []EndedRun) []Record {
	running := make([]Fingerprint, 0, len(ended))
	for _, run := range ended {
		if !t.isCoincidence(now, run) {
			running = append(running, run.Fingerprint)
		}
	}
	changed := t.Crash(now, replica, running)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, run := range ended {
		if r, known := t.get(run.Fingerprint); known && r.LastCrash.Equal(now) {
			r.lastRun = run.Lasted
			t.put(r)
		}
	}
	return changed
}

// isCoincidence reports whether the request had no time to crash the replica: it had run on another one
// for a while when that crashed, and was sent on to one that crashed in the same moment. A request
// that crashes replicas at once does not run for a while on any.
func (t *Tracker) isCoincidence(now time.Time, run EndedRun) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.get(run.Fingerprint)
	return known && run.Lasted < minCrashRun && r.lastRun >= minCrashRun && now.Sub(r.LastCrash) < coincidenceTime
}

// knowsCrash reports whether the record already has this crash: each node that ran the
// request on the replica sees it.
func (t *Tracker) knowsCrash(now time.Time, replicaHash uint32, fp Fingerprint) bool {
	r, ok := t.get(fp)
	return ok && r.LastReplica == replicaHash && now.Sub(r.LastCrash) < sameCrashTime
}

// Finished records that the request finished, which clears it. It returns the
// changed record and true, or false if nothing changed.
func (t *Tracker) Finished(now time.Time, fp Fingerprint) (Record, bool) {
	if t.count.Load() == 0 {
		return Record{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.get(fp)
	if !ok || r.verdict(now, 0) == Normal {
		return Record{}, false
	}
	r.ClearedAt, r.Crashes, r.Until = now, 0, time.Time{}
	t.put(r)
	return r, true
}

// Get returns the record of the request and whether there is one.
func (t *Tracker) Get(fp Fingerprint) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(fp)
}

// Merge merges records received from peers. It returns the merged records of requests that
// are now refused and were not before.
func (t *Tracker) Merge(now time.Time, records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newlyRefused []Record
	for _, r := range records {
		existing, known := t.get(r.Fingerprint)
		if known {
			r = merge(existing, r)
		}
		if !now.Before(r.expiresAt()) {
			continue
		}
		t.put(r)
		if r.verdict(now, 0) == Refuse && (!known || existing.verdict(now, 0) != Refuse) {
			newlyRefused = append(newlyRefused, r)
		}
	}
	return newlyRefused
}

// Records returns the unexpired records and removes the others.
func (t *Tracker) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept []Record
	for e := t.recent.Front(); e != nil; {
		next := e.Next()
		if r := e.Value.(Record); now.Before(r.expiresAt()) {
			kept = append(kept, r)
		} else {
			t.drop(e)
		}
		e = next
	}
	return kept
}

// isSuspect reports whether the request was a suspect before this crash. A
// quarantined request that still runs counts as well.
func (t *Tracker) isSuspect(now time.Time, fp Fingerprint) bool {
	r, ok := t.get(fp)
	return ok && r.verdict(now, 0) != Normal
}

// recordCrash records a crash of a replica that ran the request.
func (t *Tracker) recordCrash(now time.Time, replicaHash uint32, fp Fingerprint, onlySuspect bool) Record {
	r, ok := t.get(fp)
	if !ok || r.verdict(now, 0) == Normal {
		r = Record{Fingerprint: fp, ClearedAt: r.ClearedAt, Crashes: 1}
	} else {
		// The crash before may have been counted by a node that did not know of ClearedAt.
		r.Crashes = max(r.Crashes, 1) + 1
	}
	r.LastCrash, r.LastReplica = now, replicaHash
	if onlySuspect || r.Crashes >= provenCrashes {
		r.Until = ctxtime.Later(r.Until, now.Add(quarantineAfter(r.Crashes)))
	}
	t.put(r)
	return r
}

// quarantineAfter returns the length of the quarantine after the given number of crashes, at
// least two.
func quarantineAfter(crashes int) time.Duration {
	return quarantines[min(crashes-2, len(quarantines)-1)]
}

func (t *Tracker) get(fp Fingerprint) (Record, bool) {
	e, ok := t.records[fp]
	if !ok {
		return Record{}, false
	}
	t.recent.MoveToFront(e)
	return e.Value.(Record), true
}

func (t *Tracker) put(r Record) {
	if e, ok := t.records[r.Fingerprint]; ok {
		e.Value = r
		t.recent.MoveToFront(e)
		return
	}
	t.records[r.Fingerprint] = t.recent.PushFront(r)
	if t.recent.Len() > t.maxRecords {
		t.drop(t.recent.Back())
	}
	t.count.Store(int64(t.recent.Len()))
}

func (t *Tracker) drop(e *list.Element) {
	delete(t.records, e.Value.(Record).Fingerprint)
	t.recent.Remove(e)
	t.count.Store(int64(t.recent.Len()))
}
