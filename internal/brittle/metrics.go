package brittle

import "github.com/prometheus/client_golang/prometheus"

// RegisterMetrics registers a gauge of the brittle replicas.
func RegisterMetrics(registry prometheus.Registerer, t *Table) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trestle_brittle_replicas", Help: "Replicas that said that they are brittle: refusing many requests ends them.",
	}, func() float64 { return float64(len(t.Current())) }))
}
