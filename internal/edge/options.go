package edge

import (
	"io"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/route"
	"galenatrestle/internal/settings"
)

// Options are a node's settings and dependencies.
type Options struct {
	Settings *settings.Settings
	Store    Store
	Codec    forward.Codec
	// Decode parses the operator's configuration.
	Decode func([]byte) (*route.Document, error)
	// Wire has the paths of the readiness and resolve endpoints, reads the resolve request
	// and writes its response.
	Wire Wire
	// Duties is nil if the fleet has no duties.
	Duties DutyPlatform
	Clock  boottime.Clock
	// Seed seeds the random number generators.
	Seed uint64
	// DialReplica opens connections to replicas; nil: TCP.
	DialReplica replicaconn.Dial
	// Output receives the log lines.
	Output io.Writer
}
