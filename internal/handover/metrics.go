package handover

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what moves do.
type Metrics struct {
	verdicts       *prometheus.CounterVec
	refusedWaiting prometheus.Counter
	refused        *prometheus.CounterVec
	phases         *prometheus.CounterVec
	retries        *prometheus.CounterVec
}

// NewMetrics registers the counters.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		verdicts:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "trestle_handover_verdicts_total", Help: "Answers of the gate, by verdict."}, []string{"verdict"}),
		refusedWaiting: prometheus.NewCounter(prometheus.CounterOpts{Name: "trestle_handover_refused_waiting_total", Help: "Requests refused as not run after waiting for a move."}),
		refused:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "trestle_handover_messages_refused_total", Help: "Messages of a counterpart that were refused, by kind and reason."}, []string{"kind", "reason"}),
		phases:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "trestle_handover_phases_total", Help: "Phases reached, by role and phase."}, []string{"role", "phase"}),
		retries:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "trestle_handover_action_errors_total", Help: "Actions that failed and are tried again, by action."}, []string{"action"}),
	}
	reg.MustRegister(m.verdicts, m.refusedWaiting, m.refused, m.phases, m.retries)
	return m
}

func (m *Metrics) countPhase(before, after Move) {
	if before.Phase != after.Phase {
		m.phases.WithLabelValues(string(after.Role), string(after.Phase)).Inc()
	}
}
