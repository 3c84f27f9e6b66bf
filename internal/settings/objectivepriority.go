package settings

import (
	"strconv"

	"galenatrestle/internal/yamldoc"
)

// ObjectivePriority lets calls that are expected to miss their objective yield to others of the same tier.
type ObjectivePriority struct {
	// OnTimeFraction is the part of the objective within which the first token must be expected for a
	// call not to yield; above 0 and up to 1. Default 0.6.
	OnTimeFraction *float64 `yaml:"on_time_fraction,omitempty"`
}

const defaultOnTimeFraction = 0.6

func (o *ObjectivePriority) fillDefaults() {
	if o == nil || o.OnTimeFraction != nil {
		return
	}
	fraction := defaultOnTimeFraction
	o.OnTimeFraction = &fraction
}

// checkObjectivePriority notes a fraction that cannot be used; a missing one takes the default.
func checkObjectivePriority(source *yamldoc.Source, o *ObjectivePriority) {
	if o == nil || o.OnTimeFraction == nil || (*o.OnTimeFraction > 0 && *o.OnTimeFraction <= 1) {
		return
	}
	source.Add("pass_through.objective_priority.on_time_fraction", strconv.FormatFloat(*o.OnTimeFraction, 'g', -1, 64), "must be above 0 and at most 1")
}
