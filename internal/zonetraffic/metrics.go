package zonetraffic

import "github.com/prometheus/client_golang/prometheus"

// LeaveReason says why a request left its zone.
type LeaveReason string

// The reasons.
const (
	// CachedThere: its shared parts were read there.
	CachedThere LeaveReason = "cached"
	// LessLoad: the replicas there have less load.
	LessLoad LeaveReason = "load"
	// NoneAtHome: the zone has no usable replica.
	NoneAtHome LeaveReason = "none_at_home"
	// TriedBefore: an attempt at home failed.
	TriedBefore LeaveReason = "retry"
)

// Metrics counts what leaves the zone. A nil Metrics counts nothing.
type Metrics struct {
	requests, bytes *prometheus.CounterVec
	share, room     *prometheus.GaugeVec
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_zone_requests_total", Help: "Attempts at replicas of other availability zones by pair and reason.",
		}, []string{"from", "to", "reason"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_zone_bytes_total", Help: "Bytes between this node and replicas of other availability zones by direction and kind.",
		}, []string{"from", "to", "kind"}),
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "trestle_zone_share", Help: "Part of the flow to an upstream that may leave the zone for another because of load.",
		}, []string{"upstream", "flow", "to"}),
		room: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "trestle_zone_room", Help: "Part of its capacity that another zone has left for requests of this zone.",
		}, []string{"upstream", "flow", "to"}),
	}
	registry.MustRegister(m.requests, m.bytes, m.share, m.room)
	return m
}

// CountRequest counts an attempt at a replica of another zone and the bytes of its request.
func (m *Metrics) CountRequest(from, to string, reason LeaveReason, promptBytes int) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(from, to, string(reason)).Inc()
	m.bytes.WithLabelValues(from, to, "prompt").Add(float64(promptBytes))
}

// CountAnswer counts the bytes of an answer from a replica in the zone from to a node in the zone to.
func (m *Metrics) CountAnswer(from, to string, bytes int) {
	if m != nil {
		m.bytes.WithLabelValues(from, to, "answer").Add(float64(bytes))
	}
}

// SetFlow sets the gauges of a flow.
func (m *Metrics) SetFlow(upstream, flow string, f *Flow) {
	if m == nil {
		return
	}
	for i := range f.away {
		to := f.away[i].Name
		m.share.WithLabelValues(upstream, flow, to).Set(f.Share(to))
		m.room.WithLabelValues(upstream, flow, to).Set(f.Room(to))
	}
}
