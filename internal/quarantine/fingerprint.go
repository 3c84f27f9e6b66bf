package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of a request's content.
type Fingerprint uint64

// String returns the form used in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// FingerprintOf returns the fingerprint of a request. It includes the
// workspace, so that a quarantine applies to one workspace only.
func FingerprintOf(workspace, model string, body []byte) Fingerprint {
	digest := xxhash.New()
	writePart(digest, []byte(workspace))
	writePart(digest, []byte(model))
	writePart(digest, body)
	return Fingerprint(digest.Sum64())
}

// writePart writes the part after its length, so that the boundaries between
// parts count.
func writePart(digest *xxhash.Digest, part []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(part)
}
