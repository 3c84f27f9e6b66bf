package edge

import (
	"context"
	"errors"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/replica"
)

const (
	// minFollowedReplicas is the number of replicas from which on a reader follows the changes
	// of the registrations. A smaller listing takes one call as well.
	minFollowedReplicas = 512
	// maxFollowGap is the time since the last read after which the registrations are listed
	// anew: the store keeps its history for a limited time, and following a long gap takes more
	// than a listing.
	maxFollowGap = 5 * time.Second
	// maxFollowCalls bounds the calls for the changes of one read.
	maxFollowCalls = 16
)

// registrations reads the replicas' registrations. Registrations change with each heartbeat, so
// that a listing of a large fleet takes dozens of calls in which little is new; a node that reads
// often follows the changes instead. It is not safe for concurrent use.
type registrations struct {
	store Store
	clock boottime.Clock
	// copy returns the node's current listing, which may come from another node, and when its read
	// began.
	copy func() (replica.Listing, boottime.Instant)
	// listing is the result of the last read, which began at readAt; zero if changes cannot be
	// followed from it.
	listing replica.Listing
	readAt  boottime.Instant
	// failedAt is when the last failed read began.
	failedAt boottime.Instant
}

// read returns the current registrations. A listing may come with an error that lists entries which
// could not be decoded.
func (r *registrations) read(ctx context.Context) (replica.Listing, error) {
	began := r.clock()
	last, found := r.followable(began)
	r.listing = replica.Listing{}
	if found {
		listing, err := r.follow(ctx, last)
		if err == nil {
			r.listing, r.readAt = listing, began
			return listing, nil
		}
		if !errors.Is(err, platform.ErrCompacted) {
			r.failedAt = began
			return replica.Listing{}, err
		}
	}
	listing, err := r.store.Replicas(ctx)
	if listing.Revision == 0 {
		r.failedAt = began
		return listing, err
	}
	r.listing, r.readAt = listing.Ordered(), began
	return r.listing, err
}

// followable returns a listing from which the changes can be followed: that of the last read, or the
// copy of a later read by another node.
func (r *registrations) followable(now boottime.Instant) (replica.Listing, bool) {
	listing, readAt := r.listing, r.readAt
	if copied, copiedAt := r.copy(); copied.Zone == "" && copiedAt > max(readAt, r.failedAt) {
		listing, readAt = copied, copiedAt
	}
	return listing, len(listing.Replicas) >= minFollowedReplicas && now.Sub(readAt) <= maxFollowGap
}

// follow returns the listing with all changes since its revision.
func (r *registrations) follow(ctx context.Context, listing replica.Listing) (replica.Listing, error) {
	for range maxFollowCalls {
		changes, err := r.store.ReplicaChanges(ctx, listing.Revision)
		if err != nil {
			return replica.Listing{}, err
		}
		listing = listing.Follow(changes)
		if !changes.More {
			return listing, nil
		}
	}
	return replica.Listing{}, platform.ErrCompacted
}
