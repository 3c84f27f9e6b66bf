package replicapath

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	checks *prometheus.CounterVec
	lost   prometheus.Gauge
	relays *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_replica_path_checks_total", Help: "Checks whether this node reaches any replica, by reason and result.",
		}, []string{"reason", "result"}),
		lost: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "trestle_replica_path_lost", Help: "1 while this node reaches no replica, else 0.",
		}),
		relays: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_replica_relays_total", Help: "Connections to replicas opened through other nodes, by result.",
		}, []string{"result"}),
	}
	registry.MustRegister(m.checks, m.lost, m.relays)
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

// recordRelayed records the result of opening a connection through another node.
func (m *metrics) recordRelayed(err error) {
	result := "connected"
	switch {
	case err == nil:
	case isOfReplica(err):
		result = "replica_unreachable"
	case errors.Is(err, ErrPathLost):
		result = "path_lost"
	default:
		result = "failed"
	}
	m.relays.WithLabelValues(result).Inc()
}
