package explain

import (
	"fmt"
	"unsafe"

	"galenatrestle/internal/router"
)

// Bound says that an attempt got a slot, and on what grounds there.
type Bound struct {
	Attempt int
	Replica string
	Choice  router.Choice
}

func (e *Bound) line() Line {
	c := &e.Choice
	zone := "another availability zone"
	if c.SameZone {
		zone = "the node's availability zone"
	}
	return Line{
		Step: "bind", Peer: e.Replica, Decision: fmt.Sprintf("attempt %d bound", e.Attempt),
		Reason: fmt.Sprintf("earliest expected finish of %d with a free slot: %d of %d slots used here, %.1f times the usual time a token, %.0f%% of the prefill cached, in %s",
			c.Eligible, c.Running, c.Limit, c.Slowness, 100*c.Cached, zone),
	}
}

func (e *Bound) size() int { return int(unsafe.Sizeof(*e)) + len(e.Replica) }
