package memstore

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"strings"

	"galenatrestle/internal/platform"
)

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.begin(ctx, platform.CallGet); err != nil {
		return platform.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		return platform.Entry{}, s.fail(platform.CallGet, platform.ErrNotFound)
	}
	return clone(entry), nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Entry, int64, error) {
	if err := s.begin(ctx, platform.CallList); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []platform.Entry{}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, clone(entry))
		}
	}
	slices.SortFunc(found, func(a, b platform.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return found, s.revision, nil
}

// CompareAndSwap implements platform.Store. The value of the entry returned is
// the caller's own slice; the store keeps a copy.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (platform.Entry, error) {
	const call = platform.CallCompareAndSwap
	if err := s.begin(ctx, call); err != nil {
		return platform.Entry{}, err
	}
	if len(value) > platform.MaxValueBytes {
		return platform.Entry{}, s.fail(call, platform.ErrTooLarge)
	}
	entry, err := s.swap(key, expect, value)
	if lost := s.finish(call); lost != nil {
		return platform.Entry{}, lost
	}
	if err != nil {
		return platform.Entry{}, s.fail(call, err)
	}
	return entry, nil
}

// swap is the effect of CompareAndSwap.
func (s *Store) swap(key string, expect int64, value []byte) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(key, expect); err != nil {
		return platform.Entry{}, err
	}
	s.revision++
	entry := platform.Entry{Key: key, Value: bytes.Clone(value), Revision: s.revision}
	s.entries[key] = entry
	s.publish(platform.Event{Entry: entry})
	entry.Value = value
	return entry, nil
}

// Delete implements platform.Store. A key that does not exist is a conflict
// unless expect is zero, which changes nothing.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	const call = platform.CallDelete
	if err := s.begin(ctx, call); err != nil {
		return err
	}
	err := s.remove(key, expect)
	if lost := s.finish(call); lost != nil {
		return lost
	}
	if err != nil {
		return s.fail(call, err)
	}
	return nil
}

// remove is the effect of Delete.
func (s *Store) remove(key string, expect int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(key, expect); err != nil {
		return err
	}
	if expect == 0 {
		return nil
	}
	s.revision++
	delete(s.entries, key)
	s.publish(platform.Event{
		Entry:   platform.Entry{Key: key, Revision: s.revision},
		Deleted: true,
	})
	return nil
}

// check compares the key's revision with the one expected; s.mu is held.
func (s *Store) check(key string, expect int64) error {
	current, ok := s.entries[key]
	if !ok {
		current = platform.Entry{Key: key}
	}
	if current.Revision == expect {
		return nil
	}
	return &platform.ConflictError{Key: key, Expect: expect, Current: clone(current)}
}

// clone returns the entry with a value of its own.
func clone(entry platform.Entry) platform.Entry {
	entry.Value = bytes.Clone(entry.Value)
	return entry
}
