package lease

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts grants, ended terms and failed calls.
type Metrics struct {
	gained prometheus.Counter
	ended  *prometheus.CounterVec
	failed *prometheus.CounterVec
}

// NewMetrics registers the counters. Sources with the same registerer share
// them.
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
	var first, second, third error
	m.gained, first = registerOrReuse(register, m.gained)
	m.ended, second = registerOrReuse(register, m.ended)
	m.failed, third = registerOrReuse(register, m.failed)
	if err := errors.Join(first, second, third); err != nil {
		return nil, err
	}
	return m, nil
}

// registerOrReuse registers the collector, or returns the one already
// registered.
func registerOrReuse[C prometheus.Collector](register prometheus.Registerer, collector C) (C, error) {
	err := register.Register(collector)
	var already prometheus.AlreadyRegisteredError
	if !errors.As(err, &already) {
		return collector, err
	}
	existing, ok := already.ExistingCollector.(C)
	if !ok {
		return collector, err
	}
	return existing, nil
}
