package membership

import (
	"slices"
	"time"
)

// Snapshot is an immutable picture of the members. It implements View.
type Snapshot struct {
	self     Member
	members  []Member
	serving  []candidate
	regions  []Region
	revision int64
}

// Region is what is known of another region.
type Region struct {
	Name string
	// Members counts all, Serving those that take requests.
	Members, Serving int
	// Load is the mean over the serving members, 0 to 1 and above.
	Load float64
	// ConfigRevision is the newest configuration revision in force there.
	ConfigRevision int64
	// Contacts are peer addresses of nodes that speak for the region.
	Contacts []string
	// SummarizedAt is when the region's relay made the summary, by its clock.
	SummarizedAt time.Time
}

// Self returns this node's own member.
func (s *Snapshot) Self() Member { return s.self }

// Members returns all members of the region that are not dead, self included,
// ordered by name. The slice is the caller's own.
func (s *Snapshot) Members() []Member { return slices.Clone(s.members) }

// Regions returns the summaries of the other regions, ordered by name.
func (s *Snapshot) Regions() []Region { return s.regions }

// NewestRevision returns the newest configuration revision heard of, in any
// region.
func (s *Snapshot) NewestRevision() int64 { return s.revision }

// Serving returns the number of members that own keys.
func (s *Snapshot) Serving() int { return len(s.serving) }

// Owner returns the member that owns the key by rendezvous hash among the
// members of the region that are neither leaving nor dead; where there is
// none, this node.
func (s *Snapshot) Owner(key string) Member {
	index := first(s.serving, key)
	if index < 0 {
		return s.self
	}
	return s.members[index]
}

// Owners returns up to n members, the owner first and then those that would
// own the key after it.
func (s *Snapshot) Owners(key string, n int) []Member {
	indexes := rank(s.serving, key, n)
	owners := make([]Member, len(indexes))
	for i, index := range indexes {
		owners[i] = s.members[index]
	}
	return owners
}
