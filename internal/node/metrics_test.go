package node

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/metricstest"
	"galenatrestle/internal/platform/memstore"
)

// TestEveryMetricIsOnThePage compares what a node registers with the page, in
// both directions.
func TestEveryMetricIsOnThePage(t *testing.T) {
	registry := prometheus.NewRegistry()
	kv := memstore.New(memstore.Config{})
	n := New(Options{
		Name: "vm-0", AvailabilityZone: "z", Region: "r", Entry: listenLoopback(t), Peer: listenLoopback(t),
		Store: kv, Instances: kv, Registry: registry,
	})
	n.opsHandler()
	t.Cleanup(n.Close)
	metricstest.ComparePage(t, registry, "../../docs/operators/metrics.md")
}
