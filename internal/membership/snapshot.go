package membership

import (
	"slices"
	"time"
)

// Snapshot is an immutable view of the members. It implements View.
type Snapshot struct {
	self    Member
	members []Member
	// serving are the members that own keys, by their indexes in members.
	serving              []candidate
	regions              []Region
	newestConfigRevision int64
}

// Region is the summary of another region.
type Region struct {
	Name string
	// Members is the number that are not dead, Serving the number that own keys.
	Members, Serving int
	// Load is the mean load of the serving members; see Member.Load.
	Load float64
	// ConfigRevision is the newest active configuration revision in the region.
	ConfigRevision int64
	// Contacts are the peer addresses of the region's relays.
	Contacts []string
	// SummarizedAt is the time of the summary by the clock of the region's first relay.
	SummarizedAt time.Time
}

// Self returns this node's own member.
func (s *Snapshot) Self() Member { return s.self }

// Members returns a new slice of the members that are not dead, ordered by name.
func (s *Snapshot) Members() []Member { return slices.Clone(s.members) }

// Regions returns the summaries of the other regions, ordered by name.
func (s *Snapshot) Regions() []Region { return s.regions }

// NewestRevision returns the newest configuration revision of any region.
func (s *Snapshot) NewestRevision() int64 { return s.newestConfigRevision }

// Serving returns the number of members that own keys.
func (s *Snapshot) Serving() int { return len(s.serving) }

// Owner returns the rendezvous owner of the key among the members that are neither
// leaving nor dead, or this node if there is none.
func (s *Snapshot) Owner(key string) Member {
	index := topRanked(s.serving, key)
	if index < 0 {
		return s.self
	}
	return s.members[index]
}

// Owners returns up to n members in rendezvous order, the owner first.
func (s *Snapshot) Owners(key string, n int) []Member {
	indexes := rank(s.serving, key, n)
	owners := make([]Member, len(indexes))
	for i, index := range indexes {
		owners[i] = s.members[index]
	}
	return owners
}
