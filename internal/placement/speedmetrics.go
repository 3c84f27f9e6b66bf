package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/replicaspeed"
)

// speedMetrics collects the speeds of replicas when the metrics are read: three values for each
// upstream and kind, however many replicas there are.
type speedMetrics struct {
	placer       *Placer
	clock        func() time.Time
	speed        *prometheus.Desc
	established  *prometheus.Desc
	observations *prometheus.Desc
}

// RegisterSpeedMetrics registers the metrics of replica speeds.
func (p *Placer) RegisterSpeedMetrics(registry prometheus.Registerer, clock func() time.Time) {
	registry.MustRegister(&speedMetrics{
		placer: p, clock: clock,
		speed: prometheus.NewDesc("trestle_replica_speed_factor",
			"Speed of the replicas of an upstream relative to their mean: the least, the median and the largest.", []string{"upstream", "kind", "which"}, nil),
		established: prometheus.NewDesc("trestle_replica_speed_established",
			"Replicas of the upstream that have answered enough not to count as new.", []string{"upstream"}, nil),
		observations: prometheus.NewDesc("trestle_replica_speed_observations_total",
			"Observations of speed by this node.", []string{"upstream", "kind"}, nil),
	})
}

// Describe implements prometheus.Collector.
func (m *speedMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.speed
	descriptions <- m.established
	descriptions <- m.observations
}

// Collect implements prometheus.Collector.
func (m *speedMetrics) Collect(metrics chan<- prometheus.Metric) {
	now := m.clock()
	for name, u := range m.placer.upstreamsByName() {
		for _, kind := range []replicaspeed.Kind{replicaspeed.Prefill, replicaspeed.Decode} {
			summary := u.speedSummary(now, kind)
			if summary.observations == 0 && len(summary.factors) == 0 {
				continue
			}
			metrics <- prometheus.MustNewConstMetric(m.observations, prometheus.CounterValue, float64(summary.observations), name, kind.String())
			if kind == replicaspeed.Prefill {
				metrics <- prometheus.MustNewConstMetric(m.established, prometheus.GaugeValue, float64(summary.established), name)
			}
			if n := len(summary.factors); n > 0 {
				for which, factor := range map[string]float64{"min": summary.factors[0], "median": summary.factors[n/2], "max": summary.factors[n-1]} {
					metrics <- prometheus.MustNewConstMetric(m.speed, prometheus.GaugeValue, factor, name, kind.String(), which)
				}
			}
		}
	}
}

// speedSummary is what the metrics tell of one upstream and kind.
type speedSummary struct {
	// factors are those of the available replicas, in ascending order.
	factors      []float64
	established  int
	observations int
}

func (u *upstream) speedSummary(now time.Time, kind replicaspeed.Kind) speedSummary {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.speeds == nil {
		return speedSummary{}
	}
	u.refreshSpeeds(now)
	summary := speedSummary{observations: u.speeds.Observations(kind)}
	for _, s := range u.available {
		summary.factors = append(summary.factors, s.speed.Factor(kind))
		if !s.speed.New() {
			summary.established++
		}
	}
	slices.Sort(summary.factors)
	return summary
}

func (p *Placer) upstreamsByName() map[string]*upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.upstreams)
}
