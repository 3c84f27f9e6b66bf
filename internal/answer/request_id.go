package answer

import (
	"crypto/rand"
	"errors"
	"strings"
)

const (
	idSeparator = "."
	// maxIDLength bounds what is taken for a request id.
	maxIDLength  = 256
	randomLength = 26
)

// ErrBadID says that a text is no request id.
var ErrBadID = errors.New("answer: not a request id")

// NewRequestID returns a new id that names its node: "<node>.<random>". The
// random part has 128 bits.
func NewRequestID(node string) string {
	return node + idSeparator + rand.Text()
}

// NodeOf returns the node that a request id names, or ErrBadID.
func NodeOf(id string) (string, error) {
	at := strings.LastIndex(id, idSeparator)
	if at < 1 || len(id) > maxIDLength || len(id)-at-1 != randomLength {
		return "", ErrBadID
	}
	return id[:at], nil
}
