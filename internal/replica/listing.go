package replica

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Listing is the registrations as of one revision of the store.
type Listing struct {
	Revision int64
	// Zone is empty if the listing has all registrations. Otherwise it has the part that nodes
	// of this availability zone keep.
	Zone string
	// Replicas may have any order. A Set keeps them ordered by ID.
	Replicas []Replica
	// Digest is equal for listings of the same replicas in any order. A Set computes it if it is
	// zero.
	Digest uint64
}

// Ordered returns the listing with its replicas ordered by ID and its digest.
func (l Listing) Ordered() Listing {
	l.Replicas = sortedByID(l.Replicas)
	if l.Digest == 0 {
		l.Digest = Digest(l.Replicas)
	}
	return l
}

// Digest returns an order-independent hash of the replicas.
func Digest(list []Replica) uint64 {
	var sum uint64
	var encoded []byte
	for i := range list {
		encoded = list[i].appendTo(encoded[:0])
		sum += xxhash.Sum64(encoded)
	}
	return sum
}

// appendTo appends an unambiguous encoding of the replica.
func (r *Replica) appendTo(encoded []byte) []byte {
	for _, text := range [...]string{r.ID, r.Upstream, r.Address, r.AvailabilityZone} {
		encoded = append(append(encoded, text...), 0)
	}
	slots := uint64(r.Slots) << 2
	if r.Draining {
		slots |= 1
	}
	if r.Reclaimable {
		slots |= 2
	}
	encoded = binary.LittleEndian.AppendUint64(encoded, slots)
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(r.StartedAt))
	return append(encoded, r.Version...)
}
