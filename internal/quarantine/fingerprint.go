package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request's content.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. It includes the
// workspace, so that a request can be quarantined only for its own workspace.
func FingerprintOf(workspace, model string, body []byte) Fingerprint {
	digest := xxhash.New()
	writePart(digest, []byte(workspace))
	writePart(digest, []byte(model))
	writePart(digest, body)
	return Fingerprint(digest.Sum64())
}

// writePart adds the part and its length, so that no two lists of parts look
// alike.
func writePart(digest *xxhash.Digest, part []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(part)
}
