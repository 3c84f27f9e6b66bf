package explain

import (
	"fmt"
	"unsafe"
)

// Ended says how an attempt ended.
type Ended struct {
	Attempt int
	// Peer is the replica's address, Step where a failure arose.
	Peer string
	Step string
	// Tokens counts what the attempt brought.
	Tokens int
	// Failure is empty for a whole answer.
	Failure string
}

// NewEnded returns the event; a long failure is cut.
func NewEnded(attempt int, peer, step string, tokens int, err error) *Ended {
	e := &Ended{Attempt: attempt, Peer: peer, Step: step, Tokens: tokens}
	if err != nil {
		e.Failure = cut(err.Error())
	}
	return e
}

func (e *Ended) line() Line {
	step := e.Step
	if step == "" {
		step = "attempt"
	}
	if e.Failure == "" {
		return Line{Step: step, Peer: e.Peer, Decision: fmt.Sprintf("attempt %d whole", e.Attempt), Reason: fmt.Sprintf("%d tokens", e.Tokens)}
	}
	return Line{
		Step: step, Peer: e.Peer, Decision: fmt.Sprintf("attempt %d ended without a whole answer", e.Attempt),
		Reason: fmt.Sprintf("%s; %d tokens", e.Failure, e.Tokens),
	}
}

func (e *Ended) size() int {
	return int(unsafe.Sizeof(*e)) + len(e.Peer) + len(e.Step) + len(e.Failure)
}
