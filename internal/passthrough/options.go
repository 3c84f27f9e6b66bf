package passthrough

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/routesource"
)

// Options are what a Handler works with.
type Options struct {
	Routes    *routesource.Current
	Forwarder *forward.Forwarder
	Codec     forward.Codec
	Clock     boottime.Clock
	// Random returns values in [0, 1) for the split of a route.
	Random func() float64
	// Bounds returns the bounds in force.
	Bounds func() Bounds
	// NodeCount is the largest number of nodes, which share the connections that a
	// replica accepts.
	NodeCount func() int
	Log       *eventlog.Log
	Registry  prometheus.Registerer
}

// Bounds are the times within which a change of the configuration takes effect.
type Bounds struct {
	// RevokeAfter is how long after its revocation a key may still be used;
	// zero: keys are not checked for revocation.
	RevokeAfter time.Duration
	// ApplyWithin is how soon a configuration must be in force.
	ApplyWithin time.Duration
}
