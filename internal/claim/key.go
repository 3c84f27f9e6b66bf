package claim

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"galenatrestle/internal/refusal"
)

// MaxIdempotencyKeyBytes is the maximum length of an idempotency key.
const MaxIdempotencyKeyBytes = 255

// Key identifies one unrepeatable call.
type Key struct {
	Workspace      string
	Upstream       string
	IdempotencyKey string
}

// Check returns an error if the key cannot be claimed.
func (k Key) Check() *refusal.Error {
	if k.IdempotencyKey == "" {
		return refusal.New(refusal.IdempotencyKeyRequired, stepCheck, "the call may not be repeated and needs an Idempotency-Key")
	}
	if len(k.IdempotencyKey) > MaxIdempotencyKeyBytes {
		return refusal.BadField("Idempotency-Key", k.IdempotencyKey, "longer than 255 bytes")
	}
	return nil
}

// Shard returns the number of the key's shard, from 0 to shards-1.
func (k Key) Shard(shards int) int {
	digest := xxhash.New()
	writeField(digest, k.Workspace)
	writeField(digest, k.Upstream)
	writeField(digest, k.IdempotencyKey)
	return int(digest.Sum64() % uint64(shards))
}

// writeField writes the text with a length prefix, so that adjacent fields cannot be
// confused.
func writeField(digest interface{ Write([]byte) (int, error) }, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	// A hash's Write never fails.
	_, _ = digest.Write(length[:])
	_, _ = digest.Write([]byte(text))
}
