package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// recordBytes is the size of a record's hashed encoding.
const recordBytes = 6 * 8

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
	encoded := make([]byte, 0, recordBytes)
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(r.Fingerprint))
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(r.LastCrash.UnixMicro()))
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(r.LastReplica))
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(r.Crashes))
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(r.Until.UnixMicro()))
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(r.ClearedAt.UnixMicro()))
	return xxhash.Sum64(encoded)
}
