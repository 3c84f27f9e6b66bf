package platform

// Position is a place in the store's history, ordered over its eras: when the store is restored from
// an older copy, its era rises, and it gives out again the revisions that it had given out since that
// copy. Positions of one era are ordered by revision. The zero Position is before all others.
type Position int64

// revisionBits is the number of bits of a Position that hold the revision: enough for a million
// changes a second over twelve days, and it leaves room for eight million eras.
const revisionBits = 40

// NewPosition returns the position of a revision. It is the revision itself in era zero, that of a
// store which does not tell its era.
func NewPosition(era, revision int64) Position {
	return Position(era<<revisionBits | revision&(1<<revisionBits-1))
}

// Era returns the store's era at the position.
func (p Position) Era() int64 { return int64(p) >> revisionBits }

// Revision returns the store's revision at the position.
func (p Position) Revision() int64 { return int64(p) & (1<<revisionBits - 1) }
