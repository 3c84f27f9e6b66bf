package operator

import "github.com/prometheus/client_golang/prometheus"

// refusedReason labels the counter of refused calls.
type refusedReason string

const (
	refusedMissingKey refusedReason = "missing_key"
	refusedUnknownKey refusedReason = "unknown_key"
)

type metrics struct {
	refused *prometheus.CounterVec
	calls   *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_operator_refused_total",
			Help: "Operators' calls refused for their key, by reason.",
		}, []string{"reason"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_operator_calls_total",
			Help: "Operators' calls, by procedure and result code.",
		}, []string{"procedure", "code"}),
	}
	registry.MustRegister(m.refused, m.calls)
	return m
}
