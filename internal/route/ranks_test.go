package route

import "testing"

// Guards against ranks that are split although they do not fit: Ranks must be above every rank.
func TestRanksIsAboveEveryRank(t *testing.T) {
	tbl := NewTable(&Document{Routes: []Route{
		{Host: "a", Prefix: "/", Tier: 2, Targets: []Target{{Upstream: "u", Weight: 1}}},
		{Host: "a", Prefix: "/b/", Tier: 9, Targets: []Target{{Upstream: "other", Weight: 1}}},
	}})
	if got := tbl.Rank(&Route{Tier: 2}, nil); got != 2 || tbl.Ranks("u") != 3 || tbl.Ranks("unknown") != 0 {
		t.Errorf("rank %d of %d, want 2 of 3", got, tbl.Ranks("u"))
	}
	tbl = table()
	for _, routes := range tbl.byHost {
		for _, r := range routes {
			for _, target := range r.Targets {
				if low := tbl.Rank(r, &Workspace{Tier: tbl.workspaceTiers - 1, HasTier: true}); low >= tbl.Ranks(target.Upstream) {
					t.Errorf("rank %d of %d at %s", low, tbl.Ranks(target.Upstream), target.Upstream)
				}
			}
		}
	}
}
