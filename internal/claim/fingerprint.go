package claim

import (
	"bytes"
	"crypto/sha256"
)

// Fingerprint identifies the content of a call, so that a key reused with
// another content is found out.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a call: the first half of a SHA-256
// sum over method, path and body.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	digest := sha256.New()
	writeField(digest, method)
	writeField(digest, path)
	writeField(digest, string(body))
	return Fingerprint(digest.Sum(nil)[:len(Fingerprint{})])
}

// shortFingerprintBytes is how much of a fingerprint a short record keeps.
// Another content passes for the same once in 2^32; it is not run either way.
const shortFingerprintBytes = 4

// matches compares with what a record keeps of a fingerprint.
func (f Fingerprint) matches(kept []byte) bool {
	return len(kept) >= shortFingerprintBytes && bytes.HasPrefix(f[:], kept)
}
