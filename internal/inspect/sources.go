package inspect

import (
	"galenatrestle/internal/explain"
	inspectv1 "galenatrestle/internal/gen/trestle/inspect/v1"
)

// Sources are what a node tells of.
type Sources struct {
	// Node is this node's name.
	Node    string
	Explain *explain.Recorder
	// Report returns the node's own state; it must not block.
	Report func() *inspectv1.ReportResponse
}
