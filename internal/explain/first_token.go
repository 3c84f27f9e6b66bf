package explain

import (
	"fmt"
	"unsafe"
)

// FirstToken says that an attempt's answer has begun.
type FirstToken struct {
	Attempt int
	Peer    string
}

func (e *FirstToken) line() Line {
	return Line{Step: "attempt", Peer: e.Peer, Decision: fmt.Sprintf("attempt %d brought its first token", e.Attempt)}
}

func (e *FirstToken) size() int { return int(unsafe.Sizeof(*e)) + len(e.Peer) }
