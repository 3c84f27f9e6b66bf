package placement

import (
	"time"

	"galenatrestle/internal/replicaspeed"
)

// ReplicaSpeeds are the options of the estimates of replica speeds.
type ReplicaSpeeds struct {
	// HalfLife is that of the observations.
	HalfLife time.Duration
}

// newSpeeds returns the state of an upstream; nil if the estimates are off.
func (r *ReplicaSpeeds) newSpeeds() *replicaspeed.Upstream {
	if r == nil {
		return nil
	}
	return replicaspeed.NewUpstream(r.HalfLife)
}
