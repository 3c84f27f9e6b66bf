package route

import "testing"

func table() *Table {
	return NewTable(&Document{
		Version: 7,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Targets: []Target{{"x", 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/one/two/", Tier: 1, Targets: []Target{{"x", 1}}},
			{Name: "one", Host: "A.Example", Prefix: "/one/", Anonymous: true, Targets: []Target{{"x", 1}}},
			{Name: "other", Host: "b.example", Prefix: "/one/", Targets: []Target{{"x", 1}}},
		},
		Workspaces: []KeyedWorkspace{
			{Workspace{Name: "shop", Tier: 1, HasTier: true}, []string{"k1", "k2"}},
			{Workspace{Name: "hall"}, []string{"k3"}},
		},
	})
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	tests := map[[2]string]string{
		{"a.example", "/"}:                  "all",
		{"a.example", "/one/x"}:             "one",
		{"A.EXAMPLE:8080", "/one/two/3"}:    "deep",
		{"a.example", "/one"}:               "all",
		{"a.example", "/one/two"}:           "one",
		{"a.example", "/%6fne/"}:            "all",
		{"b.example", "/one/two/"}:          "other",
		{"b.example", "/two/"}:              "",
		{"c.example", "/one/"}:              "",
		{"b.example", "/x/../one/"}:         "",
		{"a.example.evil.example", "/one/"}: "",
	}
	for input, want := range tests {
		got := ""
		if r, ok := table().Match(input[0], input[1]); ok {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s %s: route %q, want %q", input[0], input[1], got, want)
		}
	}
}

func TestKeysBelongToTheirWorkspaces(t *testing.T) {
	tbl := table()
	for key, want := range map[string]string{"k1": "shop", "k2": "shop", "k3": "hall", "k4": "", "": ""} {
		got := ""
		if w, ok := tbl.Workspace(key); ok {
			got = w.Name
		}
		if got != want {
			t.Errorf("key %q: workspace %q, want %q", key, got, want)
		}
	}
	if open, _ := tbl.Match("a.example", "/one/"); tbl.NeedsKey(open) {
		t.Error("an anonymous route needs a key")
	}
	if closed, _ := tbl.Match("a.example", "/"); !tbl.NeedsKey(closed) {
		t.Error("a route needs no key")
	}
}

// Guards against a deployment that serves everybody once its last workspace, or the last key, is taken away.
func TestOnlyAnOpenTableNeedsNoKey(t *testing.T) {
	for name, test := range map[string]struct {
		document Document
		needsKey bool
		admits   Admitted
	}{
		"open":              {Document{Open: true}, false, AdmitsAll},
		"no workspaces":     {Document{}, true, AdmitsNone},
		"no keys":           {Document{Workspaces: []KeyedWorkspace{{Workspace: Workspace{Name: "shop"}}}}, true, AdmitsNone},
		"a workspace's key": {Document{Workspaces: []KeyedWorkspace{{Workspace{Name: "shop"}, []string{"k1"}}}}, true, AdmitsKeys},
	} {
		tbl := NewTable(&test.document)
		if tbl.NeedsKey(&Route{}) != test.needsKey || tbl.NeedsKey(&Route{Anonymous: true}) || tbl.Admits() != test.admits {
			t.Errorf("%s: needs a key: %t, admits %s", name, tbl.NeedsKey(&Route{}), tbl.Admits())
		}
	}
}

func TestRankPutsTheRouteBeforeTheWorkspace(t *testing.T) {
	tbl := table()
	low := &Workspace{Tier: 1, HasTier: true}
	ranks := []int{
		tbl.Rank(&Route{Tier: 0}, nil), tbl.Rank(&Route{Tier: 0}, low),
		tbl.Rank(&Route{Tier: 1}, nil), tbl.Rank(&Route{Tier: 1}, low),
	}
	for i := 1; i < len(ranks); i++ {
		if ranks[i] <= ranks[i-1] {
			t.Fatalf("ranks %v, want them to grow", ranks)
		}
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := &Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	for random, want := range map[float64]string{0: "a", 0.899: "a", 0.9: "b", 0.9999: "b"} {
		if got := r.Pick(random); got != want {
			t.Errorf("Pick(%v) = %s, want %s", random, got, want)
		}
	}
}
