package intent

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what the executor does.
type Metrics struct {
	steps      *prometheus.CounterVec
	plans      *prometheus.CounterVec
	retries    *prometheus.CounterVec
	conflicts  prometheus.Counter
	superseded prometheus.Counter
}

// NewMetrics registers the counters.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		steps:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "trestle_intent_steps_total", Help: "Steps ended, by kind and state."}, []string{"kind", "state"}),
		plans:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "trestle_intent_plans_total", Help: "Plans ended, by kind and state."}, []string{"kind", "state"}),
		retries:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "trestle_intent_step_errors_total", Help: "Tries of a step that failed and are tried again, by kind."}, []string{"kind"}),
		conflicts:  prometheus.NewCounter(prometheus.CounterOpts{Name: "trestle_intent_conflicts_total", Help: "Records of progress that found a changed plan."}),
		superseded: prometheus.NewCounter(prometheus.CounterOpts{Name: "trestle_intent_superseded_total", Help: "Passes ended by a plan with a higher epoch."}),
	}
	reg.MustRegister(m.steps, m.plans, m.retries, m.conflicts, m.superseded)
	return m
}
