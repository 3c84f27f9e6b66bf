package fault

import (
	"time"

	"galenatrestle/internal/config"
)

// Spec is one fault as asked for.
type Spec struct {
	Kind Kind `json:"kind"`
	// For is how long the fault lasts. Zero: until it is switched off.
	For config.Duration `json:"for,omitzero"`
	// Factor is the straggler's slowness. Default 10.
	Factor float64 `json:"factor,omitempty"`
	// Text selects prompts; empty selects every one.
	Text string `json:"text,omitempty"`
}

// Active is a fault that is switched on.
type Active struct {
	Spec
	// Until is when it ends; zero where it has no end.
	Until time.Time `json:"until,omitzero"`
}
