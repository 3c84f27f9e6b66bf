package quotashare

import (
	"galenatrestle/internal/membership"
	"galenatrestle/internal/quota"
)

// ownerPrefix keeps the owners of quotas apart from those of other things with
// the same name.
const ownerPrefix = "quota/"

// needsOf turns the demands into needs, in parts of the region's quota.
func needsOf(view *membership.Snapshot, part float64, demands []quota.Demand) []Need {
	needs := make([]Need, len(demands))
	for i, d := range demands {
		needs[i] = Need{
			Workspace: d.Workspace,
			Owner:     view.Owner(ownerPrefix + d.Workspace).Name,
			Demand:    d.Part / part,
		}
	}
	return needs
}

// regionPart is this region's part of every quota: its part of all serving
// nodes.
func regionPart(view *membership.Snapshot) float64 {
	here := max(view.Serving(), 1)
	all := here
	for _, region := range view.Regions() {
		all += region.Serving
	}
	return float64(here) / float64(all)
}

// servingNames returns the names of the members that own keys, in order.
func servingNames(view *membership.Snapshot) []string {
	var names []string
	for _, m := range view.Members() {
		if m.State != membership.StateLeaving {
			names = append(names, m.Name)
		}
	}
	return names
}

func addressOf(view *membership.Snapshot, name string) string {
	for _, m := range view.Members() {
		if m.Name == name {
			return m.PeerAddress
		}
	}
	return ""
}
