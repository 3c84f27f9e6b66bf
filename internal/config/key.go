package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// keySum is the SHA-256 of a workspace's key.
type keySum [sha256.Size]byte

func sumKey(key string) keySum { return sha256.Sum256([]byte(key)) }

// HashKey returns the lower-case hex SHA-256 of a key, as documents hold it.
func HashKey(key string) string {
	sum := sumKey(key)
	return hex.EncodeToString(sum[:])
}

func parseKeySum(text string) (keySum, error) {
	var sum keySum
	if len(text) != hex.EncodedLen(len(sum)) {
		return sum, fmt.Errorf("a key sum has %d characters, not %d", hex.EncodedLen(len(sum)), len(text))
	}
	_, err := hex.Decode(sum[:], []byte(text))
	return sum, err
}
