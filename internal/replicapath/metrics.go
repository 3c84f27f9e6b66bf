package replicapath

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	checks *prometheus.CounterVec
	lost   prometheus.Gauge
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_replica_path_checks_total", Help: "Checks whether this node reaches any replica, by reason and result.",
		}, []string{"reason", "result"}),
		lost: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "trestle_replica_path_lost", Help: "1 while this node reaches no replica, else 0.",
		}),
	}
	registry.MustRegister(m.checks, m.lost)
	return m
}

func (m *metrics) recordCheck(reason string, works bool) {
	result, lost := "works", 0.0
	if !works {
		result, lost = "lost", 1
	}
	m.checks.WithLabelValues(reason, result).Inc()
	m.lost.Set(lost)
}
