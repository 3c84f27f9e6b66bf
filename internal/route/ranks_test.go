package route

import "testing"

// Guards against ranks that are split although they do not fit: Ranks must be above every rank.
func TestRanksIsAboveEveryRank(t *testing.T) {
	tbl := NewTable(&Document{Routes: []Route{{Host: "a", Prefix: "/", Tier: 2}}})
	if got := tbl.Rank(&Route{Tier: 2}, nil); got != 2 || tbl.Ranks() != 3 {
		t.Errorf("rank %d of %d, want 2 of 3", got, tbl.Ranks())
	}
	tbl = table()
	if low := tbl.Rank(&Route{Tier: 0}, &Workspace{Tier: 1, HasTier: true}); low >= tbl.Ranks() {
		t.Errorf("rank %d of %d", low, tbl.Ranks())
	}
}
