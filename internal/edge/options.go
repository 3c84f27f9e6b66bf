package edge

import (
	"io"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/route"
	"galenatrestle/internal/settings"
)

// Options are what a node works with besides its settings.
type Options struct {
	Settings *settings.Settings
	Store    Store
	Codec    forward.Codec
	// Decode reads the operator's configuration.
	Decode func([]byte) (*route.Document, error)
	Wire   Wire
	// Duties takes the calls of the fleet's duties; nil where it has none.
	Duties DutyPlatform
	Clock  boottime.Clock
	// Seed feeds the random choices.
	Seed uint64
	// Output takes the log's lines.
	Output io.Writer
}
