package explain

import (
	"fmt"
	"time"
	"unsafe"
)

// Again is the decision whether another attempt follows or is added.
type Again struct {
	// Decision is "retry", "continue", "hedge", "give_up" or "no hedge".
	Decision string
	Reason   string
	// Waited is how long a hedge's first attempt had brought no token.
	Waited time.Duration
}

func (e *Again) line() Line {
	reason := e.Reason
	if e.Waited > 0 {
		reason = fmt.Sprintf("%s: no first token for %s", reason, e.Waited.Round(time.Millisecond))
	}
	return Line{Step: "retry", Decision: e.Decision, Reason: reason}
}

func (e *Again) size() int { return int(unsafe.Sizeof(*e)) + len(e.Decision) + len(e.Reason) }
