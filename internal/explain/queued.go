package explain

import (
	"fmt"
	"unsafe"
)

// Queued says that an attempt asked for a slot of the upstream.
type Queued struct {
	Attempt  int
	Upstream string
}

func (e *Queued) line() Line {
	return Line{Step: "queue", Peer: e.Upstream, Decision: "queued", Reason: fmt.Sprintf("attempt %d waits for a slot", e.Attempt)}
}

func (e *Queued) size() int { return int(unsafe.Sizeof(*e)) + len(e.Upstream) }
