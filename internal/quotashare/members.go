package quotashare

import (
	"galenatrestle/internal/membership"
	"galenatrestle/internal/quota"
)

// View is what the exchange reads of the membership; *membership.Snapshot is
// one.
type View interface {
	membership.View
	// Serving returns the number of members that own keys.
	Serving() int
	// Regions returns the summaries of the other regions.
	Regions() []membership.Region
}

// ownerPrefix keeps the owners of quotas apart from those of other things with
// the same name.
const ownerPrefix = "quota/"

// needsOf turns the demands into needs, in parts of the region's quota.
func needsOf(view View, part float64, demands []quota.Demand) []Need {
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
func regionPart(view View) float64 {
	here := max(view.Serving(), 1)
	all := here
	for _, region := range view.Regions() {
		all += region.Serving
	}
	return float64(here) / float64(all)
}

// servingNames returns the names of the members that own keys, in order.
func servingNames(view View) []string {
	var names []string
	for _, m := range view.Members() {
		if m.State != membership.StateLeaving {
			names = append(names, m.Name)
		}
	}
	return names
}
