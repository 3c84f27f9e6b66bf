package streamorigin

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	resolved    *prometheus.CounterVec
	resolveTime prometheus.Histogram
	shared      *prometheus.CounterVec
	saved       *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer, size func() int) *metrics {
	m := &metrics{
		resolved: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_stream_origins_total", Help: "Streams that callers resumed, by where this node knows from at which software version they began.",
		}, []string{"source"}),
		resolveTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "trestle_stream_origin_seconds", Help: "Time to find at which software version a resumed stream began.",
			Buckets: []float64{0.0001, 0.001, 0.005, 0.02, 0.1, 0.25, 0.75},
		}),
		shared: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_stream_records_shared_total", Help: "Records of streams passed on to other nodes, by result.",
		}, []string{"result"}),
		saved: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_stream_records_saved_total", Help: "Records of streams written to the platform's store, by result.",
		}, []string{"result"}),
	}
	registry.MustRegister(m.resolved, m.resolveTime, m.shared, m.saved, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trestle_stream_records", Help: "Records of streams at this node.",
	}, func() float64 { return float64(size()) }))
	return m
}

func (m *metrics) countResolved(source Source, took time.Duration) {
	m.resolved.WithLabelValues(string(source)).Inc()
	m.resolveTime.Observe(took.Seconds())
}

func (m *metrics) countShared(records int, err error) {
	m.shared.WithLabelValues(resultOf(err)).Add(float64(records))
}

func (m *metrics) countSaved(records int, err error) {
	m.saved.WithLabelValues(resultOf(err)).Add(float64(records))
}

func resultOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}
