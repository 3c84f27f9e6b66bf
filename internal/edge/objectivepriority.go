package edge

import "galenatrestle/internal/overload"

// objectivePriority returns which calls yield because they will be late; none if the settings do not turn
// it on. A changed setting needs a restart.
func (n *Node) objectivePriority() overload.ObjectivePriority {
	o := n.options.Settings.PassThrough.ObjectivePriority
	if o == nil {
		return overload.ObjectivePriority{}
	}
	return overload.ObjectivePriority{OnTimeFraction: *o.OnTimeFraction}
}
