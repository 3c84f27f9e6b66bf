package nodesync

import (
	"errors"

	"galenatrestle/internal/boottime"
	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
	"galenatrestle/internal/replica"
)

// maxReplicasInResponse is the number of replicas up to which a whole listing is part of a response.
// A longer one would not arrive within callTimeout while several nodes ask for it.
const maxReplicasInResponse = 1024

// addListing adds the replica listing that the caller keeps to a response: only the changes
// since the caller's listing if possible, because the full listing of a large fleet takes a
// quarter of a megabyte. It adds nothing if this node does not have that listing.
func (s *Sync) addListing(reply *nodesyncv1.ExchangeResponse, request *nodesyncv1.ExchangeRequest, now boottime.Instant) {
	zone := request.GetReplicasZone()
	// Read before the listing; otherwise an older listing might be sent as fresh.
	_, readAt := s.options.Replicas.Latest()
	listing, ok := s.options.Replicas.ListingFor(zone)
	if !ok {
		return
	}
	reply.ReplicasRevision, reply.ReplicasReadAge = listing.Revision, now.Sub(readAt).Microseconds()
	reply.ReplicasDigest, reply.ReplicasZone = listing.Digest, listing.Zone
	if listing.Revision <= request.GetReplicasRevision() || listing.Digest == request.GetReplicasDigest() {
		return
	}
	delta, known := s.options.Replicas.DeltaFor(zone, request.GetReplicasDigest())
	switch {
	case request.GetTakesChanges() && !known && len(listing.Replicas) > maxReplicasInResponse:
		reply.ReplicasOmitted = true
		return
	case !known || !request.GetTakesChanges():
		reply.Replicas = replicasToProto(listing.Replicas)
		return
	}
	reply.ReplicasFrom = delta.From
	reply.Replicas = replicasToProto(delta.Changed)
	reply.RemovedReplicas = delta.Removed
}

var errDeltaMismatch = errors.New("nodesync: replica listing delta does not match the sender's digest")

// mergeReplicas applies the listing of a response. The set ignores one that is older than its own.
func (s *Sync) mergeReplicas(m *nodesyncv1.ExchangeResponse, from string, callStart boottime.Instant) {
	if m.GetReplicasRevision() == 0 {
		return
	}
	ownListing, _ := s.options.Replicas.Latest()
	listing, err := decodeListing(m, ownListing)
	if err != nil {
		s.fullListingNeeded.Store(true)
		s.options.Log.Error("apply replica listing delta from "+from, err)
		return
	}
	if listing.Revision == 0 {
		return
	}
	s.applyListing(listing, callStart.Add(-microseconds(m.GetReplicasReadAge())))
}

// decodeListing returns the listing of a response. It is zero if it cannot be built from
// ownListing.
func decodeListing(m *nodesyncv1.ExchangeResponse, ownListing replica.Listing) (replica.Listing, error) {
	listing := replica.Listing{Revision: m.GetReplicasRevision(), Zone: m.GetReplicasZone(), Digest: m.GetReplicasDigest()}
	switch {
	case listing.Digest == ownListing.Digest:
		listing.Replicas = ownListing.Replicas
	case m.GetReplicasFrom() != 0:
		if m.GetReplicasFrom() != ownListing.Digest {
			// Another response has changed the listing since the request was sent.
			return replica.Listing{}, nil
		}
		delta := replica.Delta{Changed: replicasFromProto(m.GetReplicas()), Removed: m.GetRemovedReplicas()}
		listing.Replicas = delta.Apply(ownListing.Replicas)
		if replica.Digest(listing.Replicas) != listing.Digest {
			return replica.Listing{}, errDeltaMismatch
		}
	case len(m.GetReplicas()) == 0 || m.GetReplicasOmitted():
		return replica.Listing{}, nil
	default:
		listing.Replicas, listing.Digest = replicasFromProto(m.GetReplicas()), 0
	}
	return listing, nil
}
