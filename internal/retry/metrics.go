package retry

import (
	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/refusal"
)

// Metrics counts decisions by reason.
type Metrics struct {
	added   *prometheus.CounterVec
	givenUp *prometheus.CounterVec
}

// NewMetrics registers the counters; it panics if they are already registered.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		added: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_retries_total",
			Help: "Attempts added to a request, by action and reason.",
		}, []string{"action", "reason"}),
		givenUp: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_retry_refusals_total",
			Help: "Requests given up after a failed attempt, by refusal reason and outcome.",
		}, []string{"reason", "outcome"}),
	}
	registerer.MustRegister(m.added, m.givenUp)
	m.initialize()
	return m
}

// initialize creates time series before their first event, so that they start at zero.
func (m *Metrics) initialize() {
	for _, reason := range Reasons() {
		m.added.WithLabelValues(string(Retry), string(reason))
	}
	for _, reason := range []refusal.Reason{
		refusal.RetryBudgetSpent, refusal.UpstreamFailed, refusal.UpstreamTimeout,
		refusal.UpstreamRefused, refusal.OutcomeUnknown,
	} {
		m.givenUp.WithLabelValues(string(reason), string(refusal.Unknown))
	}
}

// Count counts a decision of Policy.Decide.
func (m *Metrics) Count(d Decision) {
	if d.Action == GiveUp {
		m.givenUp.WithLabelValues(string(d.Refusal.Reason), string(d.Refusal.Outcome)).Inc()
		return
	}
	m.added.WithLabelValues(string(d.Action), string(d.Reason)).Inc()
}

// CountHedge counts a hedge that was started.
func (m *Metrics) CountHedge() {
	m.added.WithLabelValues(string(Retry), string(ReasonHedge)).Inc()
}
