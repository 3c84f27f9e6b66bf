package explain

import (
	"fmt"
	"unsafe"

	"galenatrestle/internal/refusal"
)

// Refused ends a request that got no whole answer.
type Refused struct {
	Reason  refusal.Reason
	Outcome refusal.Outcome
	Step    string
	Peer    string
	Message string
}

// NewRefused returns the event; a long message is cut.
func NewRefused(refused *refusal.Error) *Refused {
	return &Refused{
		Reason: refused.Reason, Outcome: refused.Outcome,
		Step: refused.Step, Peer: refused.Peer, Message: cut(refused.Message),
	}
}

func (e *Refused) line() Line {
	return Line{
		Step: e.Step, Peer: e.Peer, Decision: fmt.Sprintf("refused as %s", e.Reason),
		Reason: fmt.Sprintf("outcome %s: %s", e.Outcome, e.Message),
	}
}

func (e *Refused) size() int {
	return int(unsafe.Sizeof(*e)) + len(e.Reason) + len(e.Outcome) + len(e.Step) + len(e.Peer) + len(e.Message)
}
