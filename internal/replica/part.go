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
	upstreamSizes := l.upstreamSizes()
	groups := make(map[group][]ranked)
	var kept []Replica
	for _, r := range l.Replicas {
		if upstreamSizes[r.Upstream] <= maxWholeUpstream {
			kept = append(kept, r)
			continue
		}
		key := group{r.Upstream, r.AvailabilityZone}
		groups[key] = append(groups[key], ranked{hash: xxhash.Sum64String(r.ID), replica: r})
	}
	if len(groups) == 0 {
		return l
	}
	for key, members := range groups {
		kept = appendFirst(kept, members, sizes.of(key.upstream))
	}
	kept = sortedByID(kept)
	return Listing{Revision: l.Revision, Zone: zone, Replicas: kept, Digest: Digest(kept)}
}

func (l Listing) upstreamSizes() map[string]int {
	sizes := make(map[string]int)
	for _, r := range l.Replicas {
		sizes[r.Upstream]++
	}
	return sizes
}

// divisible reports whether the parts of a whole listing differ from it.
func (l Listing) divisible() bool {
	for _, size := range l.upstreamSizes() {
		if size > maxWholeUpstream {
			return true
		}
	}
	return false
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

// parts caches the parts of a whole listing by availability zone.
type parts struct {
	sizes PartSizes
	// resized counts the changes of sizes.
	resized int
	byZone  map[string]*part
}

// part is the part of one availability zone with its recent deltas.
type part struct {
	history
	// source is the digest of the whole listing, and resized the count of size changes that the
	// part was computed from.
	source  uint64
	resized int
}

// update returns the zone's history after computing the part of the whole listing anew if the
// listing or the sizes have changed.
func (p *parts) update(zone string, whole Listing) *history {
	cached, known := p.byZone[zone]
	if !known {
		cached = &part{}
		p.byZone[zone] = cached
	}
	if !known || cached.source != whole.Digest || cached.resized != p.resized {
		cached.advance(whole.Part(zone, p.sizes))
		cached.source, cached.resized = whole.Digest, p.resized
	}
	cached.listing.Revision = whole.Revision
	return &cached.history
}

// SetPartSizes sets the sizes of the parts of a whole listing.
func (s *Set) SetPartSizes(sizes PartSizes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(sizes, s.parts.sizes) {
		return
	}
	s.parts.sizes = maps.Clone(sizes)
	s.parts.resized++
	if s.divisible {
		s.updateParts()
		s.group()
	}
}

// PartSizes returns the sizes that SetPartSizes has set.
func (s *Set) PartSizes() PartSizes {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.parts.sizes)
}

// Narrow returns the part of a whole listing that this node uses, of the same sizes as the part
// that it has.
func (s *Set) Narrow(l Listing) Listing {
	if s.zone == "" {
		return l
	}
	s.mu.RLock()
	sizes := s.parts.sizes
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
	return h.listing, true
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

// updateParts computes the parts in use anew, so that their histories have the same steps as that
// of the whole listing. The lock is held.
func (s *Set) updateParts() {
	if s.divisible = s.listing.Zone == "" && s.listing.divisible(); !s.divisible {
		clear(s.parts.byZone)
		return
	}
	for zone := range s.parts.byZone {
		s.parts.update(zone, s.listing)
	}
}

// historyFor returns the history of the listing that nodes of the zone keep, or nil. The lock is
// held.
func (s *Set) historyFor(zone string) *history {
	switch {
	case s.listing.Zone == zone, s.listing.Zone == "" && !s.divisible:
		return &s.history
	case s.listing.Zone == "":
		return s.parts.update(zone, s.listing)
	default:
		return nil
	}
}
