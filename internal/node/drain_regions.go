package node

import "galenatrestle/internal/membership"

// withRegions adds the other regions to the members' view; it implements
// drain.Members.
type withRegions struct {
	*membership.Runner
}

// Regions implements drain.Members.
func (r withRegions) Regions() []membership.Region { return r.View().Regions() }
