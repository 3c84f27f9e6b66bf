package faultrun

import (
	"fmt"
	"time"
)

// Event is one fault, or one act of an operator, of a schedule.
type Event struct {
	// At is when it begins, from the start of the run, and For how long it lasts.
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Target is the index of the engine, service or node.
	Target int
	// Width is the number of engines or services hit, from Target on.
	Width int
	// Factor is its size, with a meaning by kind.
	Factor float64
}

// String tells the event on one line.
func (e Event) String() string {
	return fmt.Sprintf("%v +%v %s target %d width %d factor %.2f", e.At, e.For, e.Kind, e.Target, e.Width, e.Factor)
}
