package credit

import (
	"testing"
	"time"
)

func smallCluster() simulationConfig {
	return simulationConfig{nodes: 8, replicas: 20, models: 1, limit: 8, service: 4 * time.Second}
}

func largeRegion() simulationConfig {
	return simulationConfig{nodes: 60, replicas: 352, models: 8, limit: 90, service: 16 * time.Second, perNode: 27}
}

// withLoad sets the load as a fraction of the capacity.
func (s simulationConfig) withLoad(load float64) simulationConfig {
	s.perNode = load * float64(s.replicas*s.limit) / s.service.Seconds() / float64(s.nodes)
	return s
}

func BenchmarkMarket(b *testing.B) {
	cases := []struct {
		title string
		size  simulationConfig
		set   Settings
	}{
		{"large/owners=4", largeRegion(), Settings{Owners: 4}},
		{"large/owners=8", largeRegion(), Settings{}},
		{"large/owners=8,overload", largeRegion().withLoad(1.2), Settings{}},
		{"large/all", largeRegion(), Settings{Owners: 60}},
		{"small/load=0.7", smallCluster().withLoad(0.7), Settings{}},
		{"small/load=1.0", smallCluster().withLoad(1), Settings{}},
		{"small/load=1.5", smallCluster().withLoad(1.5), Settings{}},
		{"small/load=2.0", smallCluster().withLoad(2), Settings{}},
	}
	for _, c := range cases {
		c.size.settings = c.set
		b.Run(c.title, func(b *testing.B) { report(b, c.size) })
		if c.size.nodes > 8 {
			continue
		}
		skewed := c.size
		skewed.skew = true
		b.Run(c.title+",skewed", func(b *testing.B) { report(b, skewed) })
		skewed.alone = true
		b.Run(c.title+",skewed,alone", func(b *testing.B) { report(b, skewed) })
	}
}

func report(b *testing.B, size simulationConfig) {
	for range b.N {
		f := newSimulation(size).measure(20*time.Second, 20*time.Second)
		b.ReportMetric(f.bytesPerSecond, "B/s")
		b.ReportMetric(f.worst, "worst-B/s")
		b.ReportMetric(f.callsPerSecond, "calls/s")
		b.ReportMetric(f.bytesPerStart, "B/start")
		b.ReportMetric(f.mean0, "tier0-mean-s")
		b.ReportMetric(f.wait0, "tier0-p99-s")
		b.ReportMetric(f.mean3, "tier3-mean-s")
		b.ReportMetric(f.busy, "busy")
		b.ReportMetric(f.over, "over")
	}
}
