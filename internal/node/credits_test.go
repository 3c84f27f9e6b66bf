package node

import (
	"testing"
	"time"

	"galenatrestle/internal/router"
)

func TestNeedIsOfTheHighestTierThatWaits(t *testing.T) {
	need := needOf("llm", router.Stats{
		Classes: []router.ClassStats{
			{Name: "idle", Tier: 0, Slack: 0},
			{Name: "quick", Tier: 1, Waiting: 2, Slack: time.Second},
			{Name: "late", Tier: 1, Waiting: 3, Slack: -6 * time.Second},
			{Name: "slow", Tier: 2, Waiting: 4, Slack: -time.Minute},
		},
		Replicas: []router.ReplicaStats{
			{Name: "a", Running: 1, Slots: 8},
			{Name: "b", Slots: 8, Leaving: true},
		},
	})
	if need.Tier != 1 || need.Waiting != 5 || need.Rest != 4 {
		t.Errorf("tier %d, %d waiting and %d of the rest, want tier 1, 5 and 4", need.Tier, need.Waiting, need.Rest)
	}
	if need.Slack != -6*time.Second {
		t.Errorf("slack %v, want that of the latest", need.Slack)
	}
	if len(need.Replicas) != 1 || need.Replicas[0].Limit != 8 {
		t.Errorf("replicas %+v, want a alone with its own limit", need.Replicas)
	}
}
