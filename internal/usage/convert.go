package usage

import usagev1 "galenatrestle/internal/gen/trestle/usage/v1"

func (c Counts) toProto() []*usagev1.WorkspaceCount {
	list := make([]*usagev1.WorkspaceCount, 0, len(c))
	for workspace, n := range c {
		list = append(list, &usagev1.WorkspaceCount{Workspace: workspace, Requests: n})
	}
	return list
}

func countsFromProto(list []*usagev1.WorkspaceCount) Counts {
	counts := make(Counts, len(list))
	for _, w := range list {
		counts[w.GetWorkspace()] = w.GetRequests()
	}
	return counts
}

func (f FinalSums) toProto() *usagev1.FinalSums {
	return &usagev1.FinalSums{Window: f.Window, Workspaces: f.Counts.toProto(), Fence: f.Fence}
}

func finalSumsFromProto(list []*usagev1.FinalSums) []FinalSums {
	sums := make([]FinalSums, 0, len(list))
	for _, f := range list {
		sums = append(sums, FinalSums{Window: f.GetWindow(), Counts: countsFromProto(f.GetWorkspaces()), Fence: f.GetFence()})
	}
	return sums
}
