package placement

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Guards against a series per replica: their number grows with the fleet and with restarts.
func TestSpeedMetricsAreBoundedByUpstream(t *testing.T) {
	p, _ := newSpeedFleet(9, 1)
	_, now := serve(p, start, 4*time.Second, "i-02")
	registry := prometheus.NewPedanticRegistry()
	p.RegisterSpeedMetrics(registry, func() time.Time { return now })
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if n := len(family.GetMetric()); n > 6 {
			t.Errorf("%s: %d series", family.GetName(), n)
		}
	}
	if len(families) != 3 {
		t.Errorf("%d metrics, want 3", len(families))
	}
}
