package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/routesource"
)

// metrics counts the calls to the store. newMetrics also registers gauges for the age and
// version of the node's copies.
type metrics struct {
	reads *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer, routes *routesource.Current, replicas *replica.Set, clock boottime.Clock, log *eventlog.Log) *metrics {
	m := &metrics{reads: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trestle_store_reads_total", Help: "Calls of the platform's store by what they were for and result.",
	}, []string{"what", "result"})}
	registry.MustRegister(m.reads,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "trestle_config_proof_age_seconds", Help: "Time since the configuration was known to be the newest.",
		}, func() float64 { return routes.Get().Age(clock()).Seconds() }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "trestle_config_version", Help: "Version of the configuration in force.",
		}, func() float64 { return float64(routes.Get().Version()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "trestle_replicas_read_age_seconds", Help: "Age of the newest read of the registrations.",
		}, func() float64 {
			_, readAt := replicas.Latest()
			return clock().Sub(readAt).Seconds()
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "trestle_log_lines_lost_total", Help: "Log lines left out or dropped.",
		}, func() float64 { return float64(log.Lost()) }),
	)
	return m
}

func (m *metrics) countRead(what string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.reads.WithLabelValues(what, result).Inc()
}
