package settings

import (
	"cmp"

	"galenatrestle/internal/config"
	"galenatrestle/internal/replicaspeed"
	"galenatrestle/internal/yamldoc"
)

// ReplicaSpeeds makes the choice of replicas depend on the speed that each of them shows.
type ReplicaSpeeds struct {
	// HalfLife is the half-life of observations. Default 2s.
	HalfLife config.Duration `yaml:"half_life,omitempty" validate:"min=0"`
}

// The bounds of the half-life: below the shortest one, the reports of other nodes are mostly
// outdated when they arrive; with the longest one, a replica that became slow keeps its work.
const (
	minSpeedHalfLife = leastTime / 5
	maxSpeedHalfLife = 60 * leastTime
)

func (r *ReplicaSpeeds) fillDefaults() {
	if r != nil {
		r.HalfLife = cmp.Or(r.HalfLife, config.Duration(replicaspeed.DefaultHalfLife))
	}
}

// checkReplicaSpeeds notes a half-life out of bounds; zero takes the default.
func checkReplicaSpeeds(source *yamldoc.Source, r *ReplicaSpeeds) {
	if r == nil || r.HalfLife == 0 {
		return
	}
	if r.HalfLife < minSpeedHalfLife || r.HalfLife > maxSpeedHalfLife {
		source.Add("pass_through.replica_speeds.half_life", r.HalfLife.String(),
			"must be between "+minSpeedHalfLife.String()+" and "+maxSpeedHalfLife.String())
	}
}
