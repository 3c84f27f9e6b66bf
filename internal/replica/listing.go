package replica

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Listing is all registrations as of one revision of the store.
type Listing struct {
	Revision int64
	Replicas []Replica
	// Digest is equal for listings of the same replicas in any order. A Set computes it if it is
	// zero.
	Digest uint64
}

// Digest returns an order-independent hash of the replicas.
func Digest(list []Replica) uint64 {
	var sum uint64
	var slots, started [8]byte
	for _, r := range list {
		d := xxhash.New()
		for _, text := range []string{r.ID, r.Upstream, r.Address, r.AvailabilityZone} {
			_, _ = d.WriteString(text)
			_, _ = d.Write([]byte{0})
		}
		binary.LittleEndian.PutUint64(slots[:], uint64(r.Slots)<<2)
		if r.Draining {
			slots[0] |= 1
		}
		if r.Reclaimable {
			slots[0] |= 2
		}
		_, _ = d.Write(slots[:])
		binary.LittleEndian.PutUint64(started[:], uint64(r.StartedAt))
		_, _ = d.Write(started[:])
		sum += d.Sum64()
	}
	return sum
}
