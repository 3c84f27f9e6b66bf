package node

import (
	"testing"

	"galenatrestle/internal/claim"
	"galenatrestle/internal/settings"
)

// TestClaimDefaultsAgree compares the defaults of the settings with those of
// the ledger.
func TestClaimDefaultsAgree(t *testing.T) {
	sizes := settings.Claims{
		KeyRetention: settings.DefaultClaimKeyRetention, AnswerRetention: settings.DefaultClaimAnswerRetention,
		Shards: settings.DefaultClaimShards, SegmentBytes: settings.DefaultClaimSegmentBytes,
		MaxBytes: settings.DefaultClaimMaxBytes,
	}
	if got := claimPolicy(sizes); got != claim.DefaultPolicy() {
		t.Errorf("the settings say %+v", got)
	}
	if got := claimPolicy(settings.Claims{}); got != claim.DefaultPolicy() {
		t.Errorf("no settings say %+v", got)
	}
}
