package fairshare

import "github.com/prometheus/client_golang/prometheus"

// largestPart describes the gauge of the largest parts in use. They are not told by workspace, of which
// there may be 11,000.
var largestPart = prometheus.NewDesc("trestle_largest_workspace_part",
	"Largest part of an upstream's recent use that one workspace has, when it was last short of capacity.", []string{"upstream"}, nil)

// Describe implements prometheus.Collector.
func (s *Sharing) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- largestPart }

// Collect implements prometheus.Collector.
func (s *Sharing) Collect(collected chan<- prometheus.Metric) {
	if s == nil {
		return
	}
	for _, u := range s.upstreams.Range {
		u := u.(*upstream)
		u.mu.Lock()
		part := u.largestPart
		u.mu.Unlock()
		collected <- prometheus.MustNewConstMetric(largestPart, prometheus.GaugeValue, part, u.name)
	}
}
