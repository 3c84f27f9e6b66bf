package quotashare

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

var errTooManyReports = errors.New("quotashare: too many reports in one message")

// metrics counts the exchange's messages.
type metrics struct {
	messages, failed, reported, handled prometheus.Counter
	held                                prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		messages: counter("messages_total", "Messages sent to owners of workspaces' quotas."),
		failed:   counter("failures_total", "Messages to owners that got no answer: the node falls back to its even part."),
		reported: counter("reports_total", "Demands sent to owners, one a workspace."),
		handled:  counter("handled_total", "Demands answered as an owner."),
		held: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "trestle", Subsystem: "quotashare", Name: "workspaces",
			Help: "Workspaces with a quota that were lately asked for at this node.",
		}),
	}
	registerer.MustRegister(m.messages, m.failed, m.reported, m.handled, m.held)
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "trestle", Subsystem: "quotashare", Name: name, Help: help,
	})
}
