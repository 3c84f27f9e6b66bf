package dutytest

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"galenatrestle/internal/platform"
)

// Store is an in-memory fake of the platform's store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]entry
	leases   map[int64]lease
	faults   StoreFaults
	random   *rand.Rand
	calls    int
	// lateWrites counts the delayed writes.
	lateWrites sync.WaitGroup
}

// StoreFaults are the faults to inject. The zero value injects none.
type StoreFaults struct {
	// Down fails all calls; Lapse lets leases expire meanwhile.
	Down, Lapse bool
	// LostAnswerRate is the share of writes whose answer is lost. LateWriteRate is the
	// share of these that are applied late, if their conditions still hold.
	LostAnswerRate, LateWriteRate float64
}

// maxDelay is the longest delay of a late write or call.
const maxDelay = 6 * time.Second

type entry struct {
	platform.Entry
	lease int64
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewStore returns an empty store.
func NewStore(seed uint64) *Store {
	return &Store{
		entries: make(map[string]entry), leases: make(map[int64]lease), random: rand.New(rand.NewPCG(seed, 0)),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if s.faults.Down && !s.faults.Lapse {
			// Leases do not expire while the store is down, unless Lapse is set.
			l.expiresAt = now.Add(l.ttl)
			s.leases[id] = l
		}
	}
	s.faults = f
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Wait waits until all late writes are applied.
func (s *Store) Wait() { s.lateWrites.Wait() }

// begin locks s.mu, counts a call and expires leases. It returns with s.mu locked, also
// with an error.
func (s *Store) begin() error {
	s.mu.Lock()
	s.calls++
	if s.faults.Down {
		return platform.ErrUnavailable
	}
	now := time.Now()
	for id, l := range s.leases {
		if !now.Before(l.expiresAt) {
			s.end(id)
		}
	}
	return nil
}

// end deletes a lease and its keys. The caller holds s.mu.
func (s *Store) end(id int64) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			s.revision++
			delete(s.entries, key)
		}
	}
}

// Get implements duty.Store.
func (s *Store) Get(_ context.Context, key string) (platform.Entry, error) {
	err := s.begin()
	defer s.mu.Unlock()
	if err != nil {
		return platform.Entry{}, err
	}
	e, ok := s.entries[key]
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return e.Entry, nil
}

// Grant implements duty.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	err := s.begin()
	defer s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	s.revision++
	s.leases[s.revision] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return s.revision, nil
}

// Renew implements duty.Store.
func (s *Store) Renew(_ context.Context, id int64) error {
	err := s.begin()
	defer s.mu.Unlock()
	if err != nil {
		return err
	}
	l, ok := s.leases[id]
	if !ok {
		return platform.ErrNotFound
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// End implements duty.Store.
func (s *Store) End(_ context.Context, id int64) error {
	err := s.begin()
	defer s.mu.Unlock()
	if err != nil {
		return err
	}
	if _, ok := s.leases[id]; !ok {
		return platform.ErrNotFound
	}
	s.end(id)
	return nil
}

// Commit implements duty.Store.
func (s *Store) Commit(_ context.Context, t platform.Transaction) (int64, error) {
	err := s.begin()
	defer s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if s.random.Float64() >= s.faults.LostAnswerRate {
		return s.commit(t)
	}
	if s.random.Float64() >= s.faults.LateWriteRate {
		// Applied or refused; the answer is lost.
		_, _ = s.commit(t)
		return 0, platform.ErrUnavailable
	}
	after := time.Duration(s.random.Int64N(int64(maxDelay)))
	s.lateWrites.Go(func() {
		time.Sleep(after)
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = s.commit(t)
	})
	return 0, platform.ErrUnavailable
}

// commit applies the transaction. The caller holds s.mu.
func (s *Store) commit(t platform.Transaction) (int64, error) {
	for _, c := range t.Conditions {
		if s.entries[c.Key].Revision != c.Revision {
			return 0, platform.ErrConflict
		}
	}
	for _, w := range t.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return 0, platform.ErrNotFound
		}
	}
	s.revision++
	for _, w := range t.Writes {
		s.entries[w.Key] = entry{Entry: platform.Entry{Key: w.Key, Value: w.Value, Revision: s.revision}, lease: w.Lease}
	}
	return s.revision, nil
}

// Copy is a store's entries at some moment.
type Copy struct{ entries map[string]entry }

// Copy returns the entries as they are now.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{entries: maps.Clone(s.entries)}
}

// Restore puts the store back to the copy and ends all leases. As read from a store's next era, all
// entries have revisions above those given before.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = make(map[string]entry)
	s.leases = make(map[int64]lease)
	for key, e := range c.entries {
		if e.lease != 0 {
			continue
		}
		s.revision++
		e.Revision = s.revision
		s.entries[key] = e
	}
}
