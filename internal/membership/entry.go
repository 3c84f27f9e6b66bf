package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

const (
	alive   = membershipv1.Liveness_LIVENESS_ALIVE
	suspect = membershipv1.Liveness_LIVENESS_SUSPECT
	dead    = membershipv1.Liveness_LIVENESS_DEAD
)

type entry struct {
	// wire is replaced, never modified, because messages in flight share it.
	wire *membershipv1.Member
	// hash is the xxhash of the name, used for rendezvous hashing.
	hash uint64
	// statusSeq is Status.beat; a higher one is newer.
	statusSeq int64
	// load is in units of 1/loadSteps.
	load     uint32
	revision int64
	// statusTransmits is how often the status was sent.
	statusTransmits int
	// transmitsLeft is how often the member is still to be sent.
	transmitsLeft int
	// listedLeaving is the leaving state in the platform's last list.
	listedLeaving bool
	// deadline is when a suspect is declared dead, or a dead member is removed.
	deadline time.Time
}

func newEntry(wire *membershipv1.Member) *entry {
	return &entry{wire: wire, hash: xxhash.Sum64String(wire.Name)}
}

// id is the short identifier used in statuses.
func (e *entry) id() uint32 { return uint32(e.hash) }

func (e *entry) state() State {
	switch {
	case e.wire.Liveness == dead:
		return StateDead
	case e.wire.Leaving:
		return StateLeaving
	case e.wire.Liveness == suspect:
		return StateSuspect
	default:
		return StateServing
	}
}

func (e *entry) member() Member {
	return Member{
		Name:             e.wire.Name,
		EntryAddress:     e.wire.EntryAddress,
		PeerAddress:      e.wire.PeerAddress,
		AvailabilityZone: e.wire.AvailabilityZone,
		Region:           e.wire.Region,
		Incarnation:      e.wire.Incarnation,
		State:            e.state(),
		ConfigRevision:   e.revision,
		Load:             float64(e.load) / loadSteps,
	}
}

func (e *entry) status() *membershipv1.Status {
	return &membershipv1.Status{
		Id:             e.id(),
		Beat:           e.statusSeq,
		Load:           e.load,
		ConfigRevision: e.revision,
	}
}

// digest is the entry's part of the table hash. Dead members have none, since each
// node removes them at a different time.
func (e *entry) digest() uint64 {
	if e.wire.Liveness == dead {
		return 0
	}
	state := uint64(e.wire.Liveness) << 1
	if e.wire.Leaving {
		state |= 1
	}
	return mix(e.hash ^ mix(uint64(e.wire.Incarnation)<<3|state))
}
