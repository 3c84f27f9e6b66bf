package ratelimit

import "github.com/prometheus/client_golang/prometheus"

// RegisterMetrics registers gauges of the table's limits in force.
func RegisterMetrics(registry prometheus.Registerer, t *Table) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trestle_rate_limited_replicas", Help: "Replicas that name a rate at which they take requests.",
	}, func() float64 { return t.count(func(l Limit) bool { return !l.Lifted }) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "trestle_brittle_replicas", Help: "Replicas that said that they are brittle: refusing many requests ends them.",
		}, func() float64 { return t.count(func(l Limit) bool { return l.Brittle.Brittle }) }))
}

// HasBrittle reports whether any replica is brittle.
func (t *Table) HasBrittle() bool {
	return t.count(func(l Limit) bool { return l.Brittle.Brittle }) > 0
}

// count returns the number of limits in force of a kind.
func (t *Table) count(is func(Limit) bool) float64 {
	n := 0.0
	for _, l := range t.InForce() {
		if is(l) {
			n++
		}
	}
	return n
}
