package ratelimit

import "github.com/prometheus/client_golang/prometheus"

// RegisterMetrics registers a gauge of the table's limits in force.
func RegisterMetrics(registry prometheus.Registerer, t *Table) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trestle_rate_limited_replicas", Help: "Replicas that name a rate at which they take requests.",
	}, func() float64 { return float64(len(t.InForce())) }))
}
