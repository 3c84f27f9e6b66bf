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
	// suspicionDuration is how long an unresolved suspicion lasts.
	suspicionDuration = 10 * time.Minute
	// DefaultMaxRecords is the default limit of records; the least recently used
	// are evicted first.
	DefaultMaxRecords = 4096
)

// Tracker stores the records of this node. It is safe for concurrent use.
type Tracker struct {
	maxRecords int
	// count is the number of records, read without the lock.
	count atomic.Int64

	mu      sync.Mutex
	records map[Fingerprint]*list.Element // of Record
	// recent has the most recently used record first.
	recent *list.List
}

// NewTracker returns a tracker of at most maxRecords records; zero means
// DefaultMaxRecords.
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
	verdict := r.verdict(now)
	if verdict == Refuse {
		return verdict, r.Until.Sub(now)
	}
	return verdict, 0
}

// Crash records that a replica crashed while it ran the requests. If exactly
// one of them was a suspect, it is quarantined; the others become suspects. It
// returns the changed records, to be sent to the peers.
func (t *Tracker) Crash(now time.Time, running []Fingerprint) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	distinct := make(map[Fingerprint]bool, len(running))
	for _, fp := range running {
		distinct[fp] = true
	}
	suspects := 0
	for fp := range distinct {
		if t.isSuspect(now, fp) {
			suspects++
		}
	}
	changed := make([]Record, 0, len(distinct))
	for fp := range distinct {
		isCause := suspects == 1 && t.isSuspect(now, fp)
		changed = append(changed, t.recordCrash(now, fp, isCause))
	}
	return changed
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
	if !ok || r.verdict(now) == Normal {
		return Record{}, false
	}
	r.ClearedAt = now
	t.put(r)
	return r, true
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
		if r.verdict(now) == Refuse && (!known || existing.verdict(now) != Refuse) {
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

// isSuspect reports whether the request was a isSuspect before this crash. A
// quarantined request that still runs counts as well.
func (t *Tracker) isSuspect(now time.Time, fp Fingerprint) bool {
	r, ok := t.get(fp)
	return ok && r.verdict(now) != Normal
}

// recordCrash records a crash of a replica that ran the request; isCause means that
// the request was the only suspect on it.
func (t *Tracker) recordCrash(now time.Time, fp Fingerprint, isCause bool) Record {
	r, ok := t.get(fp)
	if !ok || r.verdict(now) == Normal {
		r = Record{Fingerprint: fp, ClearedAt: r.ClearedAt}
	}
	r.LastCrash = now
	if isCause && !now.Before(r.Until) {
		r.Level++
		r.Until = now.Add(quarantineFor(r.Level))
	}
	t.put(r)
	return r
}

// quarantineFor returns the length of the quarantine at the level, which starts
// at 1.
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
	t.count.Store(int64(t.recent.Len()))
}

func (t *Tracker) drop(e *list.Element) {
	delete(t.records, e.Value.(Record).Fingerprint)
	t.recent.Remove(e)
	t.count.Store(int64(t.recent.Len()))
}
