package credit

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

var errTooManyAsks = errors.New("credit: too many asks in one message")

// metrics counts the exchange's messages.
type metrics struct {
	messages, failed, asked, handled prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		messages: counter("trestle_credit_messages_total", "Messages sent to owners of replicas."),
		failed:   counter("trestle_credit_failures_total", "Messages to owners that got no answer."),
		asked:    counter("trestle_credit_asks_total", "Asks sent to owners, one a replica."),
		handled:  counter("trestle_credit_handled_total", "Asks answered as an owner."),
	}
	registerer.MustRegister(m.messages, m.failed, m.asked, m.handled)
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}
