package dutytest

import (
	"context"
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
	// waits counts the delayed writes.
	waits sync.WaitGroup
}

// StoreFaults are the faults to inject. The zero value injects none.
type StoreFaults struct {
	// Down fails all calls; Lapse lets leases expire meanwhile.
	Down, Lapse bool
	// LostAnswerRate is the share of writes whose answer is lost. LateWriteRate is the
	// share of these that are applied late, if their conditions still hold.
	LostAnswerRate, LateWriteRate float64
}

// lateFor is the longest delay of a late write or call.
const lateFor = 6 * time.Second

type entry struct {
	platform.Entry
	lease int64
}

type lease struct {
	ttl  time.Duration
	ends time.Time
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
			l.ends = now.Add(l.ttl)
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
func (s *Store) Wait() { s.waits.Wait() }

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
		if !now.Before(l.ends) {
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
	s.leases[s.revision] = lease{ttl: ttl, ends: time.Now().Add(ttl)}
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
	l.ends = time.Now().Add(l.ttl)
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
		// Made, or refused, without an answer.
		_, _ = s.commit(t)
		return 0, platform.ErrUnavailable
	}
	after := time.Duration(s.random.Int64N(int64(lateFor)))
	s.waits.Go(func() {
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
