package handover

import (
	"slices"
	"strings"
)

// Set is what a move moves: whole upstreams, or workspaces with all their
// upstreams. One of the two lists is empty.
type Set struct {
	Upstreams  []string `json:"upstreams,omitempty"`
	Workspaces []string `json:"workspaces,omitempty"`
}

// Has says whether a request of the workspace for the upstream is of the set.
func (s Set) Has(upstream, workspace string) bool {
	return slices.Contains(s.Upstreams, upstream) || slices.Contains(s.Workspaces, workspace)
}

// Overlaps says whether a request can be of both sets. An upstream and a
// workspace always may share one.
func (s Set) Overlaps(other Set) bool {
	if len(s.Upstreams) > 0 && len(other.Workspaces) > 0 {
		return true
	}
	if len(s.Workspaces) > 0 && len(other.Upstreams) > 0 {
		return true
	}
	return shares(s.Upstreams, other.Upstreams) || shares(s.Workspaces, other.Workspaces)
}

// Equal compares two sets with their order.
func (s Set) Equal(other Set) bool {
	return slices.Equal(s.Upstreams, other.Upstreams) && slices.Equal(s.Workspaces, other.Workspaces)
}

// Valid says whether exactly one of the lists has entries.
func (s Set) Valid() bool {
	return (len(s.Upstreams) == 0) != (len(s.Workspaces) == 0)
}

// String names the set for operators.
func (s Set) String() string {
	if len(s.Upstreams) > 0 {
		return "upstreams " + strings.Join(s.Upstreams, ", ")
	}
	return "workspaces " + strings.Join(s.Workspaces, ", ")
}

func shares(a, b []string) bool {
	return slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}
