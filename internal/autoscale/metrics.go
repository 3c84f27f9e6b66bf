package autoscale

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the orders sent by this node.
type Metrics struct {
	orders *prometheus.CounterVec
	wanted *prometheus.GaugeVec
}

// NewMetrics registers the metrics.
func NewMetrics(register prometheus.Registerer) *Metrics {
	m := &Metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_replica_orders_total", Help: "Orders of replicas sent to the platform, by kind and result.",
		}, []string{"kind", "result"}),
		wanted: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "trestle_replicas_wanted", Help: "Replicas last ordered by this node.",
		}, []string{"upstream", "zone", "kind"}),
	}
	register.MustRegister(m.orders, m.wanted)
	return m
}

func (m *Metrics) countOrder(o Order, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	} else {
		m.wanted.WithLabelValues(o.Upstream, o.AvailabilityZone, string(o.Kind)).Set(float64(o.Replicas))
	}
	m.orders.WithLabelValues(string(o.Kind), result).Inc()
}
