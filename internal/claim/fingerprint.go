package claim

import "crypto/sha256"

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
