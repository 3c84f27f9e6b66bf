package faultrun

import (
	"errors"
	"time"
)

// Options size the runs. All sizes have to be positive.
type Options struct {
	Nodes    int
	Engines  int
	Services int
	// For is how long requests arrive and faults begin.
	For time.Duration
}

// DefaultServices is the number of plain-service replicas.
const DefaultServices = 2

// minNodes is the least number with which one can be replaced while another
// serves, and minFor the shortest run in which a fault has time to begin and end.
const (
	minNodes = 2
	minFor   = time.Second
)

// check returns an error that says what does not make sense.
func (o Options) check() error {
	if o.Nodes < minNodes || o.Engines < 1 || o.Services < 1 || o.For < minFor {
		return errors.New("want 2 nodes, an engine, a service and a second at least")
	}
	return nil
}
