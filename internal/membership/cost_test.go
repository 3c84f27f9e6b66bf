package membership

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// maxBytesPerSecond is membership's share of the limit of 8 KB/s on a node's control
// traffic.
const maxBytesPerSecond = 2048

// randomizeLoads moves each node's load by one step of a random walk.
func (f *fleet) randomizeLoads(loads map[string]float64) {
	for _, name := range f.order {
		load := loads[name] + f.rng.NormFloat64()*0.05
		loads[name] = math.Min(math.Max(load, 0), 2)
		f.tables[name].SetStatus(f.now, loads[name], 1)
	}
}

// loadError is the mean absolute difference between a node's load and the load that
// the other nodes have recorded for it.
func (f *fleet) loadError(loads map[string]float64) float64 {
	sum, n := 0.0, 0
	for name, table := range f.tables {
		for _, m := range table.Snapshot().Members() {
			if m.Name != name {
				sum += math.Abs(m.Load - loads[m.Name])
				n++
			}
		}
	}
	return sum / float64(n)
}

type cost struct{ meanBytes, maxBytes, calls, loadError float64 }

// measureCost excludes the traffic of joining.
func measureCost(t testing.TB, n, seconds int) cost {
	f := joinedFleet(t, n)
	loads := make(map[string]float64)
	f.runFor(2 * time.Minute)
	f.randomizeLoads(loads)
	f.resetTraffic()
	for range seconds {
		f.randomizeLoads(loads)
		f.runFor(time.Second)
	}
	mean, worst, calls := f.bytesPerSecond(float64(seconds))
	return cost{meanBytes: mean, maxBytes: worst, calls: calls, loadError: f.loadError(loads)}
}

func TestTrafficPerNodeIsBounded(t *testing.T) {
	c := measureCost(t, 60, 20)
	if c.maxBytes > maxBytesPerSecond {
		t.Errorf("traffic of the busiest of 60 nodes is %.0f B/s, over the limit of %d", c.maxBytes, maxBytesPerSecond)
	}
}

// BenchmarkCost reports the traffic of one node while all loads change.
func BenchmarkCost(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				c := measureCost(b, n, 120)
				b.ReportMetric(c.meanBytes, "B/s")
				b.ReportMetric(c.maxBytes, "worst-B/s")
				b.ReportMetric(c.calls, "calls/s")
				b.ReportMetric(c.loadError, "load-error")
			}
		})
	}
}

func (f *fleet) bytesPerSecond(seconds float64) (mean, worst, calls float64) {
	for _, tr := range f.traffic {
		bytes := float64(tr.sent+tr.received) / seconds
		mean += bytes / float64(len(f.traffic))
		worst = math.Max(worst, bytes)
		calls += float64(tr.calls) / seconds / float64(len(f.traffic))
	}
	return mean, worst, calls
}

// TestRegions checks that three regions learn of each other if each node has one seed
// in the next region, and that the busiest node's traffic stays bounded.
func TestRegions(t *testing.T) {
	f := newFleet(t)
	names := []string{"east", "north", "west"}
	for i, region := range names {
		for j := range 20 {
			f.add(region, j, nodeName(region, 0), nodeName(names[(i+1)%3], 0))
		}
	}
	took := f.runUntil(time.Minute, func() bool { return f.allKnowRegions(2, 20) })
	t.Logf("60 nodes in 3 regions: all have the summaries of the other regions after %v", took)
	for _, table := range f.tables {
		for _, m := range table.Snapshot().Members() {
			if m.Region != table.self.record.Region {
				t.Fatalf("%s of region %s is listed as a member of region %s", m.Name, m.Region, table.self.record.Region)
			}
		}
	}

	f.tables[nodeName("east", 7)].SetStatus(f.now, 0, 2)
	spread := f.runUntil(20*time.Second, func() bool { return f.allKnowRevision(2) })
	t.Logf("a new revision was known in all regions after %v", spread)

	f.resetTraffic()
	f.runFor(time.Minute)
	mean, worst, _ := f.bytesPerSecond(60)
	t.Logf("%.0f B/s per node on average, %.0f at the busiest", mean, worst)
	if worst > 2*maxBytesPerSecond {
		t.Errorf("traffic of the busiest node is %.0f B/s, over the limit", worst)
	}
}

func (f *fleet) allKnowRegions(others, serving int) bool {
	for _, table := range f.tables {
		regions := table.Snapshot().Regions()
		if len(regions) != others {
			return false
		}
		for _, r := range regions {
			if r.Serving != serving {
				return false
			}
		}
	}
	return true
}

// BenchmarkNodeSecond runs one second of one node; ns/op divided by 1e9 is the
// fraction of a core that it uses.
func BenchmarkNodeSecond(b *testing.B) {
	f := joinedFleet(b, 60)
	loads := make(map[string]float64)
	b.ReportAllocs()
	b.ResetTimer()
	for done := 0; done < b.N; done += 60 {
		f.randomizeLoads(loads)
		f.runFor(time.Second)
	}
}

// BenchmarkSixRegions runs 360 nodes in 6 regions with a new revision every 18 s.
func BenchmarkSixRegions(b *testing.B) {
	const regions, perRegion = 6, 60
	for range b.N {
		f := newFleet(b)
		for i := range regions {
			own, next := regionName(i), regionName((i+1)%regions)
			for j := range perRegion {
				f.add(own, j, nodeName(own, 0), nodeName(next, 0))
			}
		}
		known := f.runUntil(2*time.Minute, func() bool { return f.allKnowRegions(regions-1, perRegion) })
		f.runFor(2 * time.Minute)
		f.tables[nodeName(regionName(0), 7)].SetStatus(f.now, 0, 2)
		spread := f.runUntil(time.Minute, func() bool { return f.allKnowRevision(2) })
		f.runFor(time.Minute)
		f.resetTraffic()
		loads := make(map[string]float64)
		for i := range 60 {
			f.randomizeLoads(loads)
			if i%18 == 0 {
				revision := int64(3 + i)
				f.tables[nodeName(regionName(i%regions), i)].SetStatus(f.now, 0, revision)
			}
			f.runFor(time.Second)
		}
		mean, worst, _ := f.bytesPerSecond(60)
		b.ReportMetric(mean, "B/s")
		b.ReportMetric(worst, "worst-B/s")
		b.ReportMetric(known.Seconds(), "known-s")
		b.ReportMetric(spread.Seconds(), "revision-s")
	}
}

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

func (f *fleet) allKnowRevision(revision int64) bool {
	for _, table := range f.tables {
		if table.Snapshot().NewestRevision() < revision {
			return false
		}
	}
	return true
}
