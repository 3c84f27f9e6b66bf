package settings

import (
	"cmp"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/yamldoc"
)

// ObjectivePlacement makes the choice of a replica take the route's objective and its
// longest allowed pause into account.
type ObjectivePlacement struct {
	// MissCost is what a missed objective costs, in latency. Default 3s.
	MissCost config.Duration `yaml:"miss_cost,omitempty" validate:"min=0"`
}

const (
	defaultMissCost = config.Duration(3 * time.Second)
	// With less than minMissCost the other costs of a choice always outweigh a missed objective. With
	// more than maxMissCost a choice copies prompts for tiny differences in the expected time.
	minMissCost = config.Duration(100 * time.Millisecond)
	maxMissCost = config.Duration(time.Minute)
)

func (o *ObjectivePlacement) fillDefaults() {
	if o != nil {
		o.MissCost = cmp.Or(o.MissCost, defaultMissCost)
	}
}

// checkObjectivePlacement notes a cost outside its bounds; zero takes the default. Negative
// values are noted by the tag.
func checkObjectivePlacement(source *yamldoc.Source, o *ObjectivePlacement) {
	if o == nil || o.MissCost <= 0 || o.MissCost >= minMissCost && o.MissCost <= maxMissCost {
		return
	}
	source.Add("pass_through.objective_placement.miss_cost", o.MissCost.String(), "must be from "+minMissCost.String()+" to "+maxMissCost.String())
}
