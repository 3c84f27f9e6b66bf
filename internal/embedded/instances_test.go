package embedded

import "testing"

// TestFewNodesReadThePlatformsList checks that the list's readers are three,
// whatever the number of nodes, and that another takes a killed reader's place.
func TestFewNodesReadThePlatformsList(t *testing.T) {
	d := startWith(t, Options{Nodes: 6, Engines: 1, Services: 1})
	killed := -1
	readers := func() []int {
		var found []int
		for i, n := range d.Nodes {
			if i != killed && n.ReadsInstances() {
				found = append(found, i)
			}
		}
		return found
	}
	first := readers()
	if len(first) != 3 {
		t.Fatalf("nodes %v read the list, want three", first)
	}
	killed = first[0]
	d.Kill(killed)
	eventually(t, "a third reader after one was killed", func() bool { return len(readers()) == 3 })
}
