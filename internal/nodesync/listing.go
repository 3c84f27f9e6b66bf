package nodesync

import (
	"errors"

	"galenatrestle/internal/boottime"
	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
	"galenatrestle/internal/replica"
)

// tellListing adds the listing to an answer: what has changed since the caller's
// where that is known, else the whole. In a fleet of thousands of replicas some
// change each second, and the whole listing is a quarter of a megabyte.
func (s *Sync) tellListing(answer *nodesyncv1.ExchangeResponse, asked *nodesyncv1.ExchangeRequest, listing replica.Listing) {
	delta, known := s.options.Replicas.DeltaSince(asked.GetReplicasDigest())
	if !known || !asked.GetTakesChanges() {
		answer.Replicas = replicasToProto(listing.Replicas)
		return
	}
	answer.ReplicasFrom = delta.From
	answer.Replicas = replicasToProto(delta.Changed)
	answer.RemovedReplicas = delta.Removed
}

// errChangesMismatch says that changes of a listing lead to another one than the
// node that told them has.
var errChangesMismatch = errors.New("nodesync: the changes of the listing do not lead to the one told")

// takeReplicas takes a newer listing.
func (s *Sync) takeReplicas(m *nodesyncv1.ExchangeResponse, from string, began boottime.Instant) {
	own, _ := s.options.Replicas.Latest()
	if m.GetReplicasRevision() == 0 || m.GetReplicasRevision() < own.Revision {
		return
	}
	listing, err := toldListing(m, own)
	if err != nil {
		s.wholeListing.Store(true)
		s.options.Log.Error("take the changes of the listing from "+from, err)
		return
	}
	if listing.Revision == 0 {
		return
	}
	readAt := began.Add(-microseconds(m.GetReplicasReadAge()))
	s.options.OnReplicaChanges(s.options.Replicas.Update(listing, readAt, s.options.Clock()))
}

// toldListing is the listing that the answer tells, for a node that has own; it is
// zero where it can't be told from that.
func toldListing(m *nodesyncv1.ExchangeResponse, own replica.Listing) (replica.Listing, error) {
	told := replica.Listing{Revision: m.GetReplicasRevision(), Digest: m.GetReplicasDigest()}
	switch {
	case told.Digest == own.Digest:
		told.Replicas = own.Replicas
	case m.GetReplicasFrom() != 0:
		if m.GetReplicasFrom() != own.Digest {
			// Another answer came first.
			return replica.Listing{}, nil
		}
		delta := replica.Delta{Changed: replicasFromProto(m.GetReplicas()), Removed: m.GetRemovedReplicas()}
		told.Replicas = delta.Apply(own.Replicas)
		if replica.Digest(told.Replicas) != told.Digest {
			return replica.Listing{}, errChangesMismatch
		}
	case len(m.GetReplicas()) == 0:
		return replica.Listing{}, nil
	default:
		told.Replicas, told.Digest = replicasFromProto(m.GetReplicas()), 0
	}
	return told, nil
}
