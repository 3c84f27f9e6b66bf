package explain

import (
	"fmt"
	"time"
	"unsafe"
)

// Answered ends a request that got its whole answer.
type Answered struct {
	Tokens int
	// Whole is the time to spare to the class's target for the whole answer,
	// negative for a late one; First the same for the first token.
	Whole time.Duration
	First time.Duration
	// HasFirst says that there is a target for the first token.
	HasFirst bool
}

// OnTarget says that the answer met the class's targets.
func (e *Answered) OnTarget() bool { return e.Whole >= 0 && (!e.HasFirst || e.First >= 0) }

func (e *Answered) line() Line {
	decision := "answered on target"
	if !e.OnTarget() {
		decision = "answered late"
	}
	reason := "whole answer " + against(e.Whole)
	if e.HasFirst {
		reason += ", first token " + against(e.First)
	}
	return Line{Step: "answer", Decision: decision, Reason: fmt.Sprintf("%s; %d tokens", reason, e.Tokens)}
}

// against tells a margin to a target.
func against(margin time.Duration) string {
	if margin < 0 {
		return fmt.Sprintf("%s after its target", (-margin).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s before its target", margin.Round(time.Millisecond))
}

func (e *Answered) size() int { return int(unsafe.Sizeof(*e)) }
