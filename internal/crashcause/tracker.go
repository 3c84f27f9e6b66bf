package crashcause

import (
	"cmp"
	"container/list"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"galenatrestle/internal/ctxtime"
)

const (
	// DefaultMaxRecords is the default limit of records; the least recently used are dropped first.
	DefaultMaxRecords = 4096
	// maxShared bounds the records that are told at once.
	maxShared = 256
	// shareChangesFor is how long a change is told to other nodes, each of which tells it on as long.
	shareChangesFor = 2 * time.Second
	// minRivalCrashes is the number of crashes from which on a factor can be a cause or a rival.
	minRivalCrashes = minCrashes - rivalMisses
	// otherNodeTries is how long calls are refused while another one, or another node, makes a trial.
	otherNodeTries = time.Second
)

// holds are how long calls with a cause are refused after its last crash, before the first trial and after each
// that crashed a replica. After the last trial they are refused for as long as they come.
var holds = []time.Duration{time.Minute, 10 * time.Minute, 2 * time.Hour}

// Tracker has the records of this node. It is safe for concurrent use.
type Tracker struct {
	maxRecords int
	// mayTry reports whether this node is the one that makes the given trial of a cause.
	mayTry func(f Factor, trial int) bool
	// onChange is called without the lock for each change of the causes that are certain.
	onChange func(Change)
	// count is the number of records, read without the lock.
	count atomic.Int64

	mu      sync.Mutex
	records map[Factor]*list.Element // of *Record
	// recent has the most recently used record first.
	recent *list.List
	causes map[Factor]Cause
	// shared are the records of causes, as told to other nodes.
	shared []Record
}

// NewTracker returns a tracker with at most maxRecords records; zero means DefaultMaxRecords. mayTry reports
// whether this node makes a cause's trial, onChange is called for each change of the causes that are certain; both may be nil.
func NewTracker(maxRecords int, mayTry func(f Factor, trial int) bool, onChange func(Change)) *Tracker {
	return &Tracker{
		maxRecords: cmp.Or(maxRecords, DefaultMaxRecords), mayTry: mayTry, onChange: onChange,
		records: make(map[Factor]*list.Element), recent: list.New(), causes: make(map[Factor]Cause),
	}
}

// Decide returns how a call with the factors may run.
func (t *Tracker) Decide(now time.Time, factors []Factor) Decision {
	if t.count.Load() == 0 {
		return Decision{Verdict: Normal}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	decided := Decision{Verdict: Normal}
	for _, f := range factors {
		cause, ok := t.causes[f]
		if !ok || !f.isPart() {
			continue
		}
		d := t.decide(now, &cause, factors)
		if d.Verdict == Refuse {
			return d
		}
		decided = d
	}
	return decided
}

// decide returns how a call may run that has the cause. The lock is held.
func (t *Tracker) decide(now time.Time, cause *Cause, factors []Factor) Decision {
	r := t.get(cause.Factor)
	if r == nil {
		return Decision{Verdict: Normal}
	}
	r.seenAt = now
	if !cause.isMet(factors) {
		return Decision{Verdict: Normal}
	}
	trials := r.trials()
	if trials >= len(holds) {
		return Decision{Verdict: Refuse, Factor: cause.Factor, Left: holds[len(holds)-1]}
	}
	// A trial may end without telling anything, as when its caller leaves.
	due := ctxtime.Later(r.lastCrash().Add(holds[trials]), r.triedAt.Add(holds[0]))
	if left := due.Sub(now); left > 0 {
		return Decision{Verdict: Refuse, Factor: cause.Factor, Left: left}
	}
	if t.mayTry != nil && !t.mayTry(cause.Factor, trials) {
		return Decision{Verdict: Refuse, Factor: cause.Factor, Left: otherNodeTries}
	}
	return Decision{Verdict: Trial, Factor: cause.Factor}
}

// Tried records that a trial of the cause has ended.
func (t *Tracker) Tried(now time.Time, cause Factor) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.get(cause); r != nil {
		r.triedAt = now
	}
}

// IsSuspect reports whether replicas crashed under calls with one of the factors.
func (t *Tracker) IsSuspect(factors []Factor) bool {
	if t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(factors, func(f Factor) bool {
		r := t.get(f)
		return r != nil && len(r.Crashes) > 0
	})
}

// Crashed records that a replica's process crashed while it ran the calls. It reports whether replicas had crashed
// under one of their factors before.
func (t *Tracker) Crashed(now time.Time, process string, runs []Run) bool {
	replica := HashReplica(process)
	hadCrashed := false
	t.update(now, func() {
		for _, run := range runs {
			for _, f := range run.Factors {
				r := t.use(f)
				hadCrashed = hadCrashed || len(r.Crashes) > 0
				r.isLocal = true
				t.change(now, r, time.Time{}, Crash{Replica: replica, StartedAt: run.StartedAt, At: now, Trial: run.TrialOf == f})
			}
		}
	})
	return hadCrashed
}

// Sound records that a call which was sent to its replica at the time is answered.
func (t *Tracker) Sound(now, startedAt time.Time, factors []Factor) {
	if !t.IsSuspect(factors) {
		return
	}
	t.update(now, func() {
		for _, f := range factors {
			if r := t.get(f); r != nil && len(r.Crashes) > 0 {
				t.change(now, r, startedAt)
			}
		}
	})
}

// Merge merges records of another node or of the store.
func (t *Tracker) Merge(now time.Time, records []Record) {
	if len(records) == 0 {
		return
	}
	t.update(now, func() {
		for i := range records {
			t.change(now, t.use(records[i].Factor), records[i].SoundAt, records[i].Crashes...)
		}
	})
}

// Shared returns the records that another node may lack: those that changed a moment ago, and, unless its digest of
// the causes' records is that of this node, those of all causes.
func (t *Tracker) Shared(now time.Time, digest uint64) []Record {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	if Digest(t.shared) != digest {
		records = append(records, t.shared...)
	}
	for e := t.recent.Front(); e != nil && len(records) < maxShared; e = e.Next() {
		if r := e.Value.(*Record); now.Sub(r.changedAt) < shareChangesFor {
			records = append(records, *r)
		}
	}
	return records
}

// Digest returns the digest of the records of all causes.
func (t *Tracker) Digest() uint64 {
	if t.count.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return Digest(t.shared)
}

// CountCauses returns the number of causes that are certain.
func (t *Tracker) CountCauses() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, c := range t.causes {
		if c.isCertain() {
			count++
		}
	}
	return count
}

// Get returns the record of the factor and whether there is one.
func (t *Tracker) Get(f Factor) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.get(f); r != nil {
		return *r, true
	}
	return Record{}, false
}

// update makes the change under the lock, works the causes out anew and reports what changed of them.
func (t *Tracker) update(now time.Time, change func()) {
	t.mu.Lock()
	change()
	t.drop(now)
	changes := t.findCauses()
	t.mu.Unlock()
	if t.onChange == nil {
		return
	}
	for _, c := range changes {
		t.onChange(c)
	}
}

// findCauses works the causes out and returns the changes. The lock is held.
func (t *Tracker) findCauses() []Change {
	var candidates []*Record
	for e := t.recent.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*Record); len(r.Crashes) >= minRivalCrashes {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 && len(t.causes) == 0 {
		return nil
	}
	found := make(map[Factor]Cause)
	var changes []Change
	t.shared = nil
	for _, c := range findCauses(candidates) {
		found[c.Factor] = c
		r := t.get(c.Factor)
		t.shared = append(t.shared, *r)
		if before := t.causes[c.Factor]; c.isCertain() && before.Crashes != c.Crashes {
			changes = append(changes, Change{Cause: c, IsLocal: r.isLocal})
		}
	}
	for f, c := range t.causes {
		if now, still := found[f]; c.isCertain() && !(still && now.isCertain()) {
			changes = append(changes, Change{Cause: c, Ended: true})
		}
	}
	t.shared = t.shared[:min(len(t.shared), maxShared)]
	t.causes = found
	return changes
}

// change adds to a record. The lock is held.
func (t *Tracker) change(now time.Time, r *Record, soundAt time.Time, crashes ...Crash) {
	if r.add(soundAt, crashes...) {
		r.changedAt = now
	}
}

// get returns the factor's record or nil. The lock is held.
func (t *Tracker) get(f Factor) *Record {
	e, ok := t.records[f]
	if !ok {
		return nil
	}
	t.recent.MoveToFront(e)
	return e.Value.(*Record)
}

// use returns the factor's record, which it creates if there is none. The lock is held.
func (t *Tracker) use(f Factor) *Record {
	if r := t.get(f); r != nil {
		return r
	}
	r := &Record{Factor: f}
	t.records[f] = t.recent.PushFront(r)
	return r
}

// drop removes the records that are expired or too many. The lock is held.
func (t *Tracker) drop(now time.Time) {
	for e := t.recent.Back(); e != nil; {
		before := e.Prev()
		if r := e.Value.(*Record); t.recent.Len() > t.maxRecords || !now.Before(r.expiresAt()) {
			delete(t.records, r.Factor)
			t.recent.Remove(e)
		}
		e = before
	}
	t.count.Store(int64(t.recent.Len()))
}
