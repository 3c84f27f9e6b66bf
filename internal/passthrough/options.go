package passthrough

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/routesource"
	"galenatrestle/internal/streamorigin"
)

// Options configures a Handler.
type Options struct {
	Routes    *routesource.Current
	Forwarder *forward.Forwarder
	Codec     forward.Codec
	Clock     boottime.Clock
	// Streams tells at which software version a resumed stream began.
	Streams StreamOrigins
	// Random returns values in [0, 1) for choosing one of a route's upstreams by weight.
	Random func() float64
	// Bounds returns the bounds in force.
	Bounds func() Bounds
	// NodeCount returns the largest number of nodes that may share the connections that
	// a replica accepts.
	NodeCount func() int
	// OthersServe reports whether another node is known that serves callers and does not stop.
	OthersServe func() bool
	Log         *eventlog.Log
	Registry    prometheus.Registerer
}

// StreamOrigins tells where streams began; *streamorigin.Tracker implements it.
type StreamOrigins interface {
	// Resolve finds the origin of a stream for the caller's attempt that received its first event.
	Resolve(ctx context.Context, attempt, upstream string) streamorigin.Resolution
}

// Bounds are the times within which a change of the configuration takes effect.
type Bounds struct {
	// RevokeAfter is how long after its revocation a key may still be accepted;
	// zero: no bound.
	RevokeAfter time.Duration
	// ApplyWithin is the longest time until a new configuration takes effect; zero: no
	// bound.
	ApplyWithin time.Duration
}
