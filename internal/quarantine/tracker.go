package quarantine

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstQuarantine is the length of the first quarantine; each further one
	// is twice as long, up to longestQuarantine.
	firstQuarantine   = 10 * time.Second
	longestQuarantine = 10 * time.Minute
	// suspectFor is how long a suspicion lasts that nothing settles.
	suspectFor = 10 * time.Minute
	// DefaultMaxRecords bounds the memory; the least recently used go first.
	DefaultMaxRecords = 4096
)

// Tracker holds the records. It is safe for concurrent use.
type Tracker struct {
	maxRecords int
	// known is the number of records, read without the lock.
	known atomic.Int64

	mu      sync.Mutex
	records map[Fingerprint]*list.Element // of Record
	// recent orders the records, the most recently used first.
	recent *list.List
}

// NewTracker returns a tracker that holds at most maxRecords records; zero
// means DefaultMaxRecords.
func NewTracker(maxRecords int) *Tracker {
	if maxRecords == 0 {
		maxRecords = DefaultMaxRecords
	}
	return &Tracker{
		maxRecords: maxRecords,
		records:    make(map[Fingerprint]*list.Element),
		recent:     list.New(),
	}
}

// Decide says how the request may run and, for Refuse, how long it is refused.
func (t *Tracker) Decide(now time.Time, fp Fingerprint) (Verdict, time.Duration) {
	if t.known.Load() == 0 {
		return Normal, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.get(fp)
	if !ok {
		return Normal, 0
	}
	verdict := r.verdict(now)
	if verdict == Refuse {
		return verdict, r.Until.Sub(now)
	}
	return verdict, 0
}

// Crash tells that a replica crashed while the requests ran on it. It returns
// the records that changed, for the peers. Where exactly one of the requests
// was a suspect, it is quarantined; the others become suspects.
func (t *Tracker) Crash(now time.Time, running []Fingerprint) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	distinct := make(map[Fingerprint]bool, len(running))
	for _, fp := range running {
		distinct[fp] = true
	}
	suspects := 0
	for fp := range distinct {
		if t.suspect(now, fp) {
			suspects++
		}
	}
	changed := make([]Record, 0, len(distinct))
	for fp := range distinct {
		named := suspects == 1 && t.suspect(now, fp)
		changed = append(changed, t.crashed(now, fp, named))
	}
	return changed
}

// Finished tells that the request ran to its end, which clears it. It returns
// the record that changed, if one did.
func (t *Tracker) Finished(now time.Time, fp Fingerprint) (Record, bool) {
	if t.known.Load() == 0 {
		return Record{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.get(fp)
	if !ok || r.verdict(now) == Normal {
		return Record{}, false
	}
	r.ClearedAt = now
	t.put(r)
	return r, true
}

// Merge takes in records of peers.
func (t *Tracker) Merge(now time.Time, records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if mine, ok := t.get(r.Fingerprint); ok {
			r = merge(mine, r)
		}
		if now.Before(r.expires()) {
			t.put(r)
		}
	}
}

// Records returns all records that still say something, and drops the others.
func (t *Tracker) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept []Record
	for e := t.recent.Front(); e != nil; {
		next := e.Next()
		if r := e.Value.(Record); now.Before(r.expires()) {
			kept = append(kept, r)
		} else {
			t.drop(e)
		}
		e = next
	}
	return kept
}

// suspect says whether the request was under suspicion before this crash. A
// quarantined one that still runs, from before, counts as well.
func (t *Tracker) suspect(now time.Time, fp Fingerprint) bool {
	r, ok := t.get(fp)
	return ok && r.verdict(now) != Normal
}

// crashed records a crash under the request; named says that it alone is held
// to be the cause.
func (t *Tracker) crashed(now time.Time, fp Fingerprint, named bool) Record {
	r, ok := t.get(fp)
	if !ok || r.verdict(now) == Normal {
		r = Record{Fingerprint: fp, ClearedAt: r.ClearedAt}
	}
	r.LastCrash = now
	if named && !now.Before(r.Until) {
		r.Level++
		r.Until = now.Add(quarantineFor(r.Level))
	}
	t.put(r)
	return r
}

// quarantineFor is the length of the quarantine at the level, from 1.
func quarantineFor(level int) time.Duration {
	length := firstQuarantine
	for range level - 1 {
		length *= 2
		if length >= longestQuarantine {
			return longestQuarantine
		}
	}
	return length
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
	t.known.Store(int64(t.recent.Len()))
}

func (t *Tracker) drop(e *list.Element) {
	delete(t.records, e.Value.(Record).Fingerprint)
	t.recent.Remove(e)
	t.known.Store(int64(t.recent.Len()))
}
