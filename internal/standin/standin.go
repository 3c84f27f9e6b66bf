package standin

import (
	"galenatrestle/internal/standin/fault"
	"galenatrestle/internal/standin/runs"
)

// Standin is one outside system that is imitated.
type Standin interface {
	// Faults returns its fault switches.
	Faults() *fault.Set
	// Runs returns the list of what it truly ran, or nil where it runs nothing.
	Runs() *runs.List
}
