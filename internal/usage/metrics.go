package usage

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts reports and late requests.
type Metrics struct {
	reports *prometheus.CounterVec
	late    prometheus.Counter
}

// NewMetrics returns metrics registered with register.
func NewMetrics(register prometheus.Registerer) *Metrics {
	m := &Metrics{
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_usage_reports_total", Help: "Reports of usage sent to the platform, by result.",
		}, []string{"result"}),
		late: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "trestle_usage_late_requests_total", Help: "Requests that are missing from their window's report, since they were told too late.",
		}),
	}
	register.MustRegister(m.reports, m.late)
	return m
}

func (m *Metrics) reported(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.reports.WithLabelValues(result).Inc()
}
