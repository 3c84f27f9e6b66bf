package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// Short names of the wire's liveness values.
const (
	alive   = membershipv1.Liveness_LIVENESS_ALIVE
	suspect = membershipv1.Liveness_LIVENESS_SUSPECT
	dead    = membershipv1.Liveness_LIVENESS_DEAD
)

// entry is what the table holds of one member.
type entry struct {
	// wire is the member as sent; its fields change only through the table.
	wire *membershipv1.Member
	// hash is the name's xxhash, for rendezvous hashing.
	hash uint64
	beat int64
	// load is in steps of 1/loadSteps.
	load     uint32
	revision int64
	// statusSent counts how often the status was sent on.
	statusSent int
	// updateLeft counts how often the change is still to be sent on.
	updateLeft int
	// listedLeaving is what the platform's list said last.
	listedLeaving bool
	// deadline is when a suspect is declared dead, or a dead one forgotten.
	deadline time.Time
}

func newEntry(wire *membershipv1.Member) *entry {
	return &entry{wire: wire, hash: xxhash.Sum64String(wire.Name)}
}

// id is the short name used in statuses.
func (e *entry) id() uint32 { return uint32(e.hash) }

// state is the member's state as shown to other packages.
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
		Beat:           e.beat,
		Load:           e.load,
		ConfigRevision: e.revision,
	}
}

// digest is the entry's part of the table's hash. Dead members have none, since
// each node forgets them at its own time.
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
