package load

import (
	"galenatrestle/internal/config"
	"galenatrestle/internal/standin/fault"
)

// Fault is a switch that is thrown at a time of the run.
type Fault struct {
	At config.Duration `yaml:"at" validate:"gte=0"`
	// Standins are the stand-ins' names, or path.Match patterns of them.
	Standins []string        `yaml:"standins" validate:"required,min=1"`
	Kind     fault.Kind      `yaml:"kind" validate:"required"`
	For      config.Duration `yaml:"for,omitempty" validate:"gte=0"`
	Factor   float64         `yaml:"factor,omitempty" validate:"gte=0"`
	Text     string          `yaml:"text,omitempty"`
}

func (f Fault) spec() fault.Spec {
	return fault.Spec{Kind: f.Kind, For: f.For, Factor: f.Factor, Text: f.Text}
}
