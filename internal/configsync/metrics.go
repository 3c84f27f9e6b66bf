package configsync

import "github.com/prometheus/client_golang/prometheus"

const (
	directionSent     = "sent"
	directionReceived = "received"
)

type metrics struct {
	revision prometheus.GaugeFunc
	moves    *prometheus.CounterVec
	ignored  *prometheus.CounterVec
	refused  *prometheus.CounterVec
	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
	failures *prometheus.CounterVec
	watching prometheus.Gauge
}

func newMetrics(current *Current, registry prometheus.Registerer) *metrics {
	m := &metrics{
		revision: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "trestle_config_revision",
			Help: "Configuration revision in force at this node.",
		}, func() float64 { return float64(current.Revision()) }),
		moves: counter("trestle_config_moves_total",
			"Moves to a higher configuration revision, by where it was learned.", "source"),
		ignored: counter("trestle_config_ignored_total",
			"Configurations heard of that changed nothing, by reason.", "reason"),
		refused: counter("trestle_config_refused_total",
			"Proposals and confirmations refused, by reason.", "reason"),
		messages: counter("trestle_config_messages_total",
			"Messages between nodes about configuration.", "message", "direction"),
		bytes: counter("trestle_config_bytes_total",
			"Bytes of the messages between nodes about configuration, before HTTP framing.", "message", "direction"),
		failures: counter("trestle_config_failures_total",
			"Failed calls about configuration, by step.", "step"),
		watching: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "trestle_config_watching",
			Help: "1 while this node watches the platform's configuration.",
		}),
	}
	registry.MustRegister(m.revision, m.moves, m.ignored, m.refused, m.messages, m.bytes, m.failures, m.watching)
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func (m *metrics) message(name, direction string, bytes float64) {
	m.messages.WithLabelValues(name, direction).Inc()
	m.bytes.WithLabelValues(name, direction).Add(bytes)
}
