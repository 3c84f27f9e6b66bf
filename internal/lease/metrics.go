package lease

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts grants, ends and failed calls of leases.
type Metrics struct {
	gained prometheus.Counter
	ended  *prometheus.CounterVec
	failed *prometheus.CounterVec
}

// NewMetrics registers the counters.
func NewMetrics(register prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		gained: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "trestle_lease_gained_total",
			Help: "Leases granted to this process.",
		}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_lease_ended_total",
			Help: "Terms of leases that ended here, by reason.",
		}, []string{"reason"}),
		failed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_lease_call_failures_total",
			Help: "Lease calls without a usable answer, by step.",
		}, []string{"step"}),
	}
	for _, collector := range []prometheus.Collector{m.gained, m.ended, m.failed} {
		if err := register.Register(collector); err != nil {
			return nil, err
		}
	}
	return m, nil
}
