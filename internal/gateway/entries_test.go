package gateway

import (
	"slices"
	"testing"

	"galenatrestle/internal/membership"
)

// fixedView is a view of members that do not change.
type fixedView []membership.Member

func (v fixedView) Self() membership.Member        { return v[0] }
func (v fixedView) Members() []membership.Member   { return slices.Clone(v) }
func (v fixedView) Owner(string) membership.Member { return v[0] }

// TestListEntriesNamesWhoCanServe leaves out members that would refuse a request:
// those that leave, and those that have no configuration yet.
func TestListEntriesNamesWhoCanServe(t *testing.T) {
	view := fixedView{
		{Name: "vm-0", EntryAddress: "10.0.0.1:80", State: membership.StateServing, ConfigRevision: 3},
		{Name: "vm-1", EntryAddress: "10.0.0.2:80", State: membership.StateServing},
		{Name: "vm-2", EntryAddress: "10.0.0.3:80", State: membership.StateLeaving, ConfigRevision: 3},
		{Name: "vm-3", EntryAddress: "10.0.0.4:80", State: membership.StateServing, ConfigRevision: 2},
	}
	if got, want := addresses(view), []string{"10.0.0.1:80", "10.0.0.4:80"}; !slices.Equal(got, want) {
		t.Errorf("entries %v, want %v", got, want)
	}
}

// TestListEntriesBeforeTheFirstConfiguration names all that run: an operator who
// sets a deployment up looks for them there.
func TestListEntriesBeforeTheFirstConfiguration(t *testing.T) {
	view := fixedView{
		{Name: "vm-0", EntryAddress: "10.0.0.1:80", State: membership.StateServing},
		{Name: "vm-1", EntryAddress: "10.0.0.2:80", State: membership.StateServing},
		{Name: "vm-2", EntryAddress: "10.0.0.3:80", State: membership.StateLeaving},
	}
	if got, want := addresses(view), []string{"10.0.0.1:80", "10.0.0.2:80"}; !slices.Equal(got, want) {
		t.Errorf("entries %v, want %v", got, want)
	}
}

func addresses(view membership.View) []string {
	var list []string
	for _, entry := range ListEntries(view, "").Entries {
		list = append(list, entry.Address)
	}
	return list
}
