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

// registerFleetMetrics registers gauges of what the node knows of the fleet and the store.
func (n *Node) registerFleetMetrics() {
	gauge := func(name, help string, value func() float64) {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("trestle_store_era", "How often the store was restored from an older copy, as it tells.",
		func() float64 { return float64(n.options.Store.Era()) })
	gauge("trestle_fleet_nodes", "Nodes of the fleet, as known to this node.",
		func() float64 { return float64(n.sync.FleetSize()) })
	gauge("trestle_hub", "1 if this node is a hub.", func() float64 {
		if n.sync.Role().IsHub() {
			return 1
		}
		return 0
	})
	gauge("trestle_replicas_kept", "Registrations that this node keeps.", func() float64 {
		listing, _ := n.replicas.Latest()
		return float64(len(listing.Replicas))
	})
}

func (m *metrics) countRead(what string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.reads.WithLabelValues(what, result).Inc()
}
