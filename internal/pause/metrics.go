package pause

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// RegisterMetrics registers a gauge of the replicas that are paused.
func RegisterMetrics(registry prometheus.Registerer, t *Table) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trestle_paused_replicas", Help: "Replicas to which this node sends nothing because they asked for a pause.",
	}, func() float64 { return float64(t.Count(time.Now())) }))
}
