package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// recordBytes is the size of a record's hashed encoding.
const recordBytes = 5 * 8

// Digest returns an order-independent digest of the records, with which peers
// detect cheaply whether their sets are equal. A collision lasts only until
// either set changes.
func Digest(records []Record) uint64 {
	var digest uint64
	for i := range records {
		digest ^= records[i].hash()
	}
	return digest
}

// hash covers all fields, at the precision of the wire format.
func (r *Record) hash() uint64 {
	form := make([]byte, 0, recordBytes)
	form = binary.LittleEndian.AppendUint64(form, uint64(r.Fingerprint))
	form = binary.LittleEndian.AppendUint64(form, uint64(r.LastCrash.UnixMicro()))
	form = binary.LittleEndian.AppendUint64(form, uint64(r.Level))
	form = binary.LittleEndian.AppendUint64(form, uint64(r.Until.UnixMicro()))
	form = binary.LittleEndian.AppendUint64(form, uint64(r.ClearedAt.UnixMicro()))
	return xxhash.Sum64(form)
}
