package dispatch

import (
	"maps"
	"testing"

	"galenatrestle/internal/config"
)

func TestWeightsOfOmitsDefaultWeights(t *testing.T) {
	document := &config.Document{Workspaces: []config.Workspace{
		{Name: "usual", Weight: 1}, {Name: "light", Weight: 0.5}, {Name: "heavy", Weight: 3},
	}}
	want := map[string]float64{"light": 0.5, "heavy": 3}
	if got := weightsOf(document); !maps.Equal(got, want) {
		t.Errorf("weightsOf = %v, want %v", got, want)
	}
}
