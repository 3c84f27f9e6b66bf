package replica

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A node of a large fleet uses a few of the replicas of an upstream. It keeps a part of the
// listing: all replicas of small upstreams, and of a large upstream those of each availability
// zone that come first in the order of a hash of their IDs. All nodes compute the same part
// without talking to each other, so that prompts with common parts meet at the same replicas,
// whichever zone they come from. A part of one size contains the parts of all smaller sizes.
const (
	// maxWholeUpstream is the number of replicas up to which an upstream is always kept whole.
	maxWholeUpstream = 512
	// MinPartSize is the smallest number of available replicas of each availability zone in the
	// part of a large upstream.
	MinPartSize = 64
)

// PartSizes is the part size by upstream, in available replicas of each availability zone.
// Upstreams that are not in it have MinPartSize.
type PartSizes map[string]int

func (s PartSizes) of(upstream string) int { return max(s[upstream], MinPartSize) }

// group is the replicas of one upstream in one availability zone.
type group struct{ upstream, zone string }

// Part returns the part of a whole listing that nodes of the availability zone keep. It is the
// same listing if all upstreams are small. Draining replicas among those kept are in it too.
func (l Listing) Part(zone string, sizes PartSizes) Listing {
	kept, divided := partOf(l.Replicas, sizes)
	if !divided {
		return l
	}
	return Listing{Revision: l.Revision, Zone: zone, Replicas: kept, Digest: Digest(kept)}
}

// partOf returns the replicas of the part, ordered by ID; divided is false if all upstreams are
// small, so that the part has all replicas.
func partOf(list []Replica, sizes PartSizes) (kept []Replica, divided bool) {
	upstreamSizes := make(map[string]int)
	for _, r := range list {
		upstreamSizes[r.Upstream]++
	}
	groups := make(map[group][]ranked)
	for _, r := range list {
		if upstreamSizes[r.Upstream] <= maxWholeUpstream {
			kept = append(kept, r)
			continue
		}
		key := group{r.Upstream, r.AvailabilityZone}
		groups[key] = append(groups[key], ranked{hash: xxhash.Sum64String(r.ID), replica: r})
	}
	if len(groups) == 0 {
		return list, false
	}
	for key, members := range groups {
		kept = appendFirst(kept, members, sizes.of(key.upstream))
	}
	return sortedByID(kept), true
}

// ranked is a replica and the hash that orders the replicas of a group.
type ranked struct {
	hash    uint64
	replica Replica
}

// appendFirst appends the first members in the order of their hashes up to the given number of
// available ones.
func appendFirst(kept []Replica, members []ranked, available int) []Replica {
	slices.SortFunc(members, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), strings.Compare(a.replica.ID, b.replica.ID))
	})
	for _, m := range members {
		if available == 0 {
			break
		}
		kept = append(kept, m.replica)
		if !m.replica.Draining {
			available--
		}
	}
	return kept
}

// SetPartSizes sets the sizes of the part of a whole listing.
func (s *Set) SetPartSizes(sizes PartSizes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(sizes, s.partSizes) {
		return
	}
	s.partSizes = maps.Clone(sizes)
	s.updatePart()
	if s.divided {
		s.group()
	}
}

// Narrow returns the part of a whole listing that this node uses, of the same sizes as the part
// that it has.
func (s *Set) Narrow(l Listing) Listing {
	if s.zone == "" {
		return l
	}
	s.mu.RLock()
	sizes := s.partSizes
	if s.listing.Zone != "" {
		sizes = s.listing.availableSizes()
	}
	s.mu.RUnlock()
	return l.Part(s.zone, sizes)
}

// availableSizes returns the number of available replicas of a part's own zone by upstream.
func (l Listing) availableSizes() PartSizes {
	sizes := make(PartSizes)
	for _, r := range l.Replicas {
		if r.AvailabilityZone == l.Zone && !r.Draining {
			sizes[r.Upstream]++
		}
	}
	return sizes
}

// ListingFor returns the newest listing that nodes of the availability zone keep; an empty zone
// means all registrations. It returns false if this set does not contain it.
func (s *Set) ListingFor(zone string) (Listing, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.historyFor(zone)
	if h == nil {
		return Listing{}, false
	}
	listing := h.listing
	if h == &s.part {
		listing.Zone, listing.Revision = zone, s.listing.Revision
	}
	return listing, true
}

// DeltaFor returns the delta from the zone's listing with the digest to the newest one; false if
// it is no longer stored.
func (s *Set) DeltaFor(zone string, digest uint64) (Delta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.historyFor(zone)
	if h == nil {
		return Delta{}, false
	}
	return h.since(digest)
}

// updatePart computes the part anew at each change of the listing, so that its history has the same
// steps. The lock is held.
func (s *Set) updatePart() {
	s.divided = false
	if s.partWanted && s.listing.Zone == "" {
		var kept []Replica
		if kept, s.divided = partOf(s.listing.Replicas, s.partSizes); s.divided {
			s.part.advance(Listing{Replicas: kept, Digest: Digest(kept)})
			return
		}
	}
	s.part = history{}
}

// historyFor returns the history of the listing that nodes of the zone keep, or nil. The lock is
// held.
func (s *Set) historyFor(zone string) *history {
	switch {
	case s.listing.Zone == zone:
		return &s.history
	case s.listing.Zone != "":
		return nil
	}
	if !s.partWanted {
		s.partWanted = true
		s.updatePart()
	}
	if s.divided {
		return &s.part
	}
	return &s.history
}
