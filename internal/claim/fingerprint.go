package claim

import (
	"bytes"
	"crypto/sha256"
)

// Fingerprint identifies the content of a call, to detect reuse of an idempotency key
// with different content.
type Fingerprint [16]byte

// FingerprintOf returns the first half of a SHA-256 sum over method, path and body.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	digest := sha256.New()
	writeField(digest, method)
	writeField(digest, path)
	writeField(digest, string(body))
	return Fingerprint(digest.Sum(nil)[:len(Fingerprint{})])
}

// shortFingerprintBytes is the length of the fingerprint prefix in a short record.
// Different content collides with probability 2^-32; such a call is still not run.
const shortFingerprintBytes = 4

// matches compares the fingerprint with a stored fingerprint or prefix of one.
func (f Fingerprint) matches(stored []byte) bool {
	return len(stored) >= shortFingerprintBytes && bytes.HasPrefix(f[:], stored)
}
