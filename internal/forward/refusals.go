package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// refusalDivisor gives the part of the objective after which a refusal comes late: the caller has lost
// time that it needs for its return.
const refusalDivisor = 8

// registerRefusals registers the metrics of refusals. An eighth of the objectives of the planned deployments is
// 15 to 100 ms.
func (m *metrics) registerRefusals(registry prometheus.Registerer) {
	m.refusal = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "trestle_refusal_seconds", Help: "Time from a call's arrival to its refusal as not run.",
		Buckets: []float64{0.001, 0.0025, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.2, 0.5},
	}, []string{"upstream"})
	m.lateRefusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trestle_late_refusals_total", Help: "Refusals later than an eighth of the route's objective after the call's arrival.",
	}, []string{"upstream"})
	registry.MustRegister(m.refusal, m.lateRefusals)
}

func (m *metrics) recordRefusal(c *Call, now time.Time) {
	took := now.Sub(c.Arrived)
	m.refusal.WithLabelValues(c.Upstream).Observe(took.Seconds())
	if objective := c.Route.Objective; objective > 0 && took > objective/refusalDivisor {
		m.lateRefusals.WithLabelValues(c.Upstream).Inc()
	}
}
