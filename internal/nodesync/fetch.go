package nodesync

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/boottime"
	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
	"galenatrestle/internal/replica"
)

const (
	// fetchTimeout bounds fetching a long listing. Each node fetches one at a time, so that a hub
	// that many ask at once gets to all of them within it.
	fetchTimeout = 5 * time.Second
	// replicasPerPage keeps a page, of about 35 kB, from holding up other calls on the connection.
	replicasPerPage = 512
)

var errIncompleteListing = errors.New("nodesync: fetched replica listing does not match its digest")

// Listing implements nodesyncv1connect.NodeSyncServiceHandler.
func (s *Sync) Listing(_ context.Context, request *connect.Request[nodesyncv1.ListingRequest], stream *connect.ServerStream[nodesyncv1.ListingPage]) error {
	// Read before the listing; otherwise an older listing might be sent as fresh.
	_, readAt := s.options.Replicas.Latest()
	listing, ok := s.options.Replicas.ListingFor(request.Msg.GetZone())
	if !ok || listing.Revision == 0 {
		return nil
	}
	page := &nodesyncv1.ListingPage{
		Revision: listing.Revision, ReadAge: s.options.Clock().Sub(readAt).Microseconds(),
		Digest: listing.Digest, Zone: listing.Zone,
	}
	for rest := listing.Replicas; ; {
		n := min(len(rest), replicasPerPage)
		page.Replicas = replicasToProto(rest[:n])
		if err := stream.Send(page); err != nil {
			return err
		}
		if rest = rest[n:]; len(rest) == 0 {
			return nil
		}
		page = &nodesyncv1.ListingPage{}
	}
}

// fetchListing fetches the replica listing that this node keeps from another node, unless a fetch is
// in progress.
func (s *Sync) fetchListing(ctx context.Context, t target) {
	if !s.fetching.CompareAndSwap(false, true) {
		return
	}
	defer s.fetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	callStart := s.options.Clock()
	listing, readAge, err := s.receiveListing(ctx, t, s.zoneToRequest(callStart))
	if err != nil {
		s.options.Log.Error("fetch replica listing from "+t.name, err)
		return
	}
	if listing.Revision != 0 {
		s.applyListing(listing, callStart.Add(-readAge))
	}
}

// receiveListing returns the listing of another node and its age, or a zero listing if that node does
// not have it.
func (s *Sync) receiveListing(ctx context.Context, t target, zone string) (replica.Listing, time.Duration, error) {
	stream, err := s.client(t).Listing(ctx, connect.NewRequest(&nodesyncv1.ListingRequest{Zone: zone}))
	if err != nil {
		return replica.Listing{}, 0, err
	}
	defer stream.Close()
	var listing replica.Listing
	var readAge time.Duration
	for stream.Receive() {
		page := stream.Msg()
		if listing.Revision == 0 {
			listing.Revision, listing.Zone, listing.Digest = page.GetRevision(), page.GetZone(), page.GetDigest()
			readAge = microseconds(page.GetReadAge())
		}
		listing.Replicas = append(listing.Replicas, replicasFromProto(page.GetReplicas())...)
	}
	if err := stream.Err(); err != nil {
		return replica.Listing{}, 0, err
	}
	if replica.Digest(listing.Replicas) != listing.Digest {
		return replica.Listing{}, 0, errIncompleteListing
	}
	return listing, readAge, nil
}

// applyListing replaces this node's listing by one that was read at the given instant.
func (s *Sync) applyListing(listing replica.Listing, readAt boottime.Instant) {
	s.options.OnReplicaChanges(s.options.Replicas.Update(listing, readAt, s.options.Clock()))
}
