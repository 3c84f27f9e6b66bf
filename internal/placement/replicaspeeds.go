package placement

import (
	"time"

	"galenatrestle/internal/replica"
	"galenatrestle/internal/replicaspeed"
)

// ReplicaSpeeds are the options of the estimates of replica speeds.
type ReplicaSpeeds struct {
	// HalfLife is that of the observations.
	HalfLife time.Duration
	// OnChange is called when the class of a replica's speed changes; nil: nobody asks. It must not
	// block, nor call the placer.
	OnChange func(SpeedChange)
}

// SpeedChange is a change of the class of a replica's speed, with the inputs.
type SpeedChange struct {
	Replica replica.Replica
	Before  replicaspeed.Class
	Speed   replicaspeed.Reading
	// Running and PendingPrefill are the load of the replica, of all nodes.
	Running        int
	PendingPrefill int
	// PeersAge is the age of the other nodes' last report, or NoPeers.
	PeersAge time.Duration
}

// NoPeers is the age of a report of the other nodes if there was none.
const NoPeers time.Duration = -1

// setUp turns the estimates of an upstream on, unless the options are nil.
func (r *ReplicaSpeeds) setUp(u *upstream) {
	if r != nil {
		u.speeds, u.onSpeedChange = replicaspeed.NewUpstream(r.HalfLife), r.OnChange
		u.withoutEvents = make(map[string]bool)
	}
}
