package forward

import (
	"testing"

	"galenatrestle/internal/overload"
)

// Guards against a choice that is repeated for ever, and against answers that teach no prefill speed, where
// ranks are too many to be split.
func TestCallsYieldOnlyWhereRanksCanBeSplit(t *testing.T) {
	for name, test := range map[string]struct {
		priority    overload.ObjectivePriority
		rank, ranks int
		yields      bool
		sent        int
	}{
		"split":         {overload.ObjectivePriority{OnTimeFraction: 0.6}, 2, 4, true, 5},
		"too many":      {overload.ObjectivePriority{OnTimeFraction: 0.6}, 2, 6, false, 2},
		"unknown ranks": {overload.ObjectivePriority{OnTimeFraction: 0.6}, 2, 0, false, 2},
		"off":           {overload.ObjectivePriority{}, 2, 4, false, 0},
	} {
		e := &exchange{forwarder: &Forwarder{options: Options{ObjectivePriority: test.priority}}, call: &Call{Rank: test.rank, Ranks: test.ranks}}
		if got := e.setYields(true); got != test.yields || e.placementRequest.Yields != test.yields || e.placementRequest.Rank != test.sent {
			t.Errorf("%s: yields %v, rank %d, want %v and %d", name, got, e.placementRequest.Rank, test.yields, test.sent)
		}
	}
}
