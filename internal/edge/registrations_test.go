package edge

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/replica"
)

// registrationStore implements the reads of registrations. All registrations are rewritten
// between two reads.
type registrationStore struct {
	Store
	revision  int64
	replicas  []replica.Replica
	compacted bool
	err       error
	// listings and follows count the calls.
	listings, follows int
}

func (s *registrationStore) Replicas(context.Context) (replica.Listing, error) {
	s.listings++
	s.revision++
	return replica.Listing{Revision: s.revision, Replicas: append([]replica.Replica(nil), s.replicas...)}, nil
}

func (s *registrationStore) ReplicaChanges(_ context.Context, after int64) (replica.StoreChanges, error) {
	s.follows++
	if s.compacted {
		return replica.StoreChanges{}, platform.ErrCompacted
	}
	s.revision++
	changes := replica.StoreChanges{Revision: s.revision}
	if after < s.revision-1 {
		return changes, errors.New("changes were skipped")
	}
	for _, r := range s.replicas {
		changes.List = append(changes.List, replica.StoreChange{Replica: r})
	}
	return changes, s.err
}

func newRegistrationStore(replicas int) *registrationStore {
	s := &registrationStore{}
	for i := range replicas {
		s.replicas = append(s.replicas, replica.Replica{ID: fmt.Sprintf("r-%05d", i), Upstream: "u", Address: "x:1"})
	}
	return s
}

func noCopy() (replica.Listing, boottime.Instant) { return replica.Listing{}, 0 }

// TestChangesOfLargeListingAreFollowed guards against reading all registrations each time, which
// takes dozens of calls in a large fleet.
func TestChangesOfLargeListingAreFollowed(t *testing.T) {
	store, now := newRegistrationStore(3000), boottime.Instant(time.Second)
	r := registrations{store: store, clock: func() boottime.Instant { return now }, copy: noCopy}
	for read := range 5 {
		store.replicas[read].Draining = true
		listing, err := r.read(t.Context())
		if err != nil || replica.Digest(listing.Replicas) != replica.Digest(store.replicas) || listing.Digest != replica.Digest(store.replicas) || listing.Revision != store.revision {
			t.Fatalf("read %d: revision %d, want the replicas at %d; error %v", read, listing.Revision, store.revision, err)
		}
		now = now.Add(time.Second)
	}
	if store.listings != 1 || store.follows != 4 {
		t.Errorf("%d listings and %d calls for changes, want 1 and 4", store.listings, store.follows)
	}
}

func TestSmallListingIsNotFollowed(t *testing.T) {
	store := newRegistrationStore(100)
	r := registrations{store: store, clock: func() boottime.Instant { return 1 }, copy: noCopy}
	for range 3 {
		if _, err := r.read(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if store.listings != 3 || store.follows != 0 {
		t.Errorf("%d listings and %d calls for changes, want 3 and none", store.listings, store.follows)
	}
}

// TestRegistrationsAreListedAnew covers a store without history, a long pause and a failed call:
// the registrations must not be followed from a listing that may lack changes.
func TestRegistrationsAreListedAnew(t *testing.T) {
	cases := []struct {
		name   string
		before func(*registrationStore) time.Duration
		fails  bool
	}{
		{"history is gone", func(s *registrationStore) time.Duration { s.compacted = true; return time.Second }, false},
		{"long pause", func(*registrationStore) time.Duration { return maxFollowGap + time.Second }, false},
		{"failed call", func(s *registrationStore) time.Duration { s.err = platform.ErrUnavailable; return time.Second }, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			store, now := newRegistrationStore(3000), boottime.Instant(time.Second)
			r := registrations{store: store, clock: func() boottime.Instant { return now }, copy: noCopy}
			if _, err := r.read(t.Context()); err != nil {
				t.Fatal(err)
			}
			now = now.Add(test.before(store))
			store.replicas = store.replicas[:2000]
			listing, err := r.read(t.Context())
			if (err != nil) != test.fails {
				t.Fatalf("error %v", err)
			}
			if test.fails {
				listing, err = r.read(t.Context())
			}
			if err != nil || store.listings != 2 || len(listing.Replicas) != 2000 {
				t.Errorf("%d listings, %d replicas, error %v; want 2 and 2000", store.listings, len(listing.Replicas), err)
			}
		})
	}
}

// A hub that took over the reads of another one listed all registrations, in dozens of calls.
func TestChangesAreFollowedFromCopyOfOtherNode(t *testing.T) {
	store, now := newRegistrationStore(3000), boottime.Instant(time.Minute)
	copied, err := store.Replicas(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	copied = copied.Ordered()
	copiedAt := now.Add(-time.Second)
	r := registrations{
		store: store, clock: func() boottime.Instant { return now },
		copy: func() (replica.Listing, boottime.Instant) { return copied, copiedAt },
	}
	if _, err := r.read(t.Context()); err != nil || store.listings != 1 || store.follows != 1 {
		t.Errorf("%d listings, %d calls for changes, error %v; want 1 and 1", store.listings, store.follows, err)
	}
	part := registrations{store: store, clock: r.clock, copy: func() (replica.Listing, boottime.Instant) {
		listing := copied
		listing.Zone = "z"
		return listing, copiedAt
	}}
	if _, err := part.read(t.Context()); err != nil || store.listings != 2 || store.follows != 1 {
		t.Errorf("with a part: %d listings, %d calls for changes, error %v; want 2 and 1", store.listings, store.follows, err)
	}
	store.err = platform.ErrUnavailable
	if _, err := r.read(t.Context()); err == nil {
		t.Fatal("the read did not fail")
	}
	store.err = nil
	if _, err := r.read(t.Context()); err != nil || store.listings != 3 {
		t.Errorf("after a failed read: %d listings, error %v; want 3", store.listings, err)
	}
}
