package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// recordBytes is the length of a record's form under its hash.
const recordBytes = 5 * 8

// Digest returns a digest of the records that does not depend on their order,
// for peers to see cheaply whether they know the same. Two different sets with
// one digest are told apart when either next changes.
func Digest(records []Record) uint64 {
	var digest uint64
	for i := range records {
		digest ^= records[i].hash()
	}
	return digest
}

// hash covers all fields, at the precision in which they travel.
func (r *Record) hash() uint64 {
	form := make([]byte, 0, recordBytes)
	form = binary.LittleEndian.AppendUint64(form, uint64(r.Fingerprint))
	form = binary.LittleEndian.AppendUint64(form, uint64(r.LastCrash.UnixMicro()))
	form = binary.LittleEndian.AppendUint64(form, uint64(r.Level))
	form = binary.LittleEndian.AppendUint64(form, uint64(r.Until.UnixMicro()))
	form = binary.LittleEndian.AppendUint64(form, uint64(r.ClearedAt.UnixMicro()))
	return xxhash.Sum64(form)
}
