package explain

import (
	"fmt"
	"unsafe"
)

// Started says that an attempt was handed to its replica.
type Started struct {
	Attempt int
	Peer    string
}

func (e *Started) line() Line {
	return Line{Step: "attempt", Peer: e.Peer, Decision: fmt.Sprintf("attempt %d started", e.Attempt)}
}

func (e *Started) size() int { return int(unsafe.Sizeof(*e)) + len(e.Peer) }
