package explain

import (
	"fmt"
	"unsafe"
)

// Received says that the request passed the checks of its caller.
type Received struct {
	Class     string
	Workspace string
	Tier      int
}

func (e *Received) line() Line {
	return Line{Step: "check", Decision: "received", Reason: fmt.Sprintf("class %s, tier %d, workspace %s", e.Class, e.Tier, e.Workspace)}
}

func (e *Received) size() int { return int(unsafe.Sizeof(*e)) + len(e.Class) + len(e.Workspace) }
