package edge

import (
	"testing"

	"galenatrestle/internal/metricstest"
)

// TestEveryMetricIsDocumented compares the registered and the documented metrics in both
// directions.
func TestEveryMetricIsDocumented(t *testing.T) {
	d := newDeployment(t)
	metricstest.ComparePage(t, d.nodes[0].registry, "../../docs/operators/pass-through-metrics.md")
}
