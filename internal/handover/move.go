package handover

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// MaxParts bounds the parts of one transfer.
const MaxParts = 4096

// Move is the durable record of one move on one side.
type Move struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	Set  Set    `json:"set"`
	// Peer is the name of the other data centre.
	Peer string `json:"peer"`
	// Load counts the source's requests in flight by upstream, as of the offer.
	Load map[string]int32 `json:"load,omitempty"`
	// Epoch counts the set's moves at the source; the target opens at one more.
	Epoch int64 `json:"epoch"`
	Phase Phase `json:"phase"`
	// DriverEpoch is the lease epoch of the driver that wrote last.
	DriverEpoch int64 `json:"driver_epoch"`
	// Driver is the peer address of that driver, which gives permits.
	Driver string `json:"driver,omitempty"`
	// SealAllowed says that the plan has come to its seal step.
	SealAllowed bool `json:"seal_allowed,omitempty"`
	// RelayAddress is where the other side takes this side's requests.
	RelayAddress string `json:"relay_address,omitempty"`
	// Parts lists the parts of export Export that are durable here; target only.
	Parts  []int `json:"parts,omitempty"`
	Export int64 `json:"export,omitempty"`
	// Reason says why a move was abandoned.
	Reason string `json:"reason,omitempty"`
	// Dead lists nodes that an operator has declared dead for this move.
	Dead []string `json:"dead,omitempty"`
	// Created orders the moves of one side: it is one more than that of the
	// newest record when the move began.
	Created int64 `json:"created"`
	// Changed is when the phase was written last.
	Changed time.Time `json:"changed"`
	// WriteID is unique for each write.
	WriteID string `json:"write_id"`

	// Revision is that of the record's key; it is not stored in the value.
	Revision int64 `json:"-"`
}

// hasPart says whether the part of the export is durable here.
func (m *Move) hasPart(export int64, part int) bool {
	return m.Export == export && slices.Contains(m.Parts, part)
}

// withPart returns the record with the part noted; the first part of a newer
// export discards those of older ones.
func (m Move) withPart(export int64, part int) Move {
	if export > m.Export {
		m.Export, m.Parts = export, nil
	}
	m.Parts = append(slices.Clone(m.Parts), part)
	return m
}

// inPhase returns the record in the phase.
func (m Move) inPhase(p Phase, now time.Time) Move {
	m.Phase = p
	m.Changed = now
	return m
}

// newestFirst orders moves of one set: by the set's epoch, whose count both
// sides share, and then by the record's first revision.
func newestFirst(a, b nodeMove) int {
	return cmp.Compare(b.move.order(), a.move.order())
}

// order is what sorts a record among all of its side. A record that only a
// driver's call has told of is newer than any copy.
func (m *Move) order() int64 {
	if m.Created == 0 {
		return math.MaxInt64
	}
	return m.Created
}

// older says that m is an earlier state of the same move than other.
func (m *Move) older(other Move) bool {
	if m.Phase.rank() != other.Phase.rank() {
		return m.Phase.rank() < other.Phase.rank()
	}
	return m.DriverEpoch < other.DriverEpoch
}
