package edge

import "galenatrestle/internal/placement"

// setUpReplicaSpeeds turns the estimates of replica speeds on if the settings have them.
func (n *Node) setUpReplicaSpeeds() {
	s := n.options.Settings.PassThrough.ReplicaSpeeds
	if s == nil {
		return
	}
	n.placer.SetReplicaSpeeds(&placement.ReplicaSpeeds{HalfLife: s.HalfLife.Std()})
}
