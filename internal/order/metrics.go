package order

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts orders.
type Metrics struct {
	sent    *prometheus.CounterVec
	held    *prometheus.CounterVec
	refused prometheus.Counter
}

// NewMetrics registers the counters.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		sent:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "trestle_orders_sent_total", Help: "Orders taken by engines, by kind."}, []string{"kind"}),
		held:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "trestle_orders_held_total", Help: "Orders held back, by reason."}, []string{"reason"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{Name: "trestle_orders_fenced_total", Help: "Orders that an engine refused for an old epoch."}),
	}
	reg.MustRegister(m.sent, m.held, m.refused)
	return m
}

func (m *Metrics) countHold(err error) {
	var hold *HoldError
	if errors.As(err, &hold) {
		m.held.WithLabelValues(string(hold.Reason)).Inc()
	}
}
