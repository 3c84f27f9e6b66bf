package membership

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// maxBytesPerSecond is the share of a node's 8 KB/s for control that
// membership may take, sent and received together.
const maxBytesPerSecond = 2048

// walkLoads gives each node a load that wanders, once a second.
func (f *fleet) walkLoads(loads map[string]float64) {
	for _, name := range f.order {
		load := loads[name] + f.rng.NormFloat64()*0.05
		loads[name] = math.Min(math.Max(load, 0), 2)
		f.tables[name].SetStatus(f.now, loads[name], 1)
	}
}

// loadError is the mean difference between what a node believes of the load of
// another and what it is.
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

// cost is what membership costs one node and how good its picture is.
type cost struct{ mean, worst, calls, loadError float64 }

// measureCost runs n members for the given seconds, after the news of their
// joining has died down.
func measureCost(t testing.TB, n, seconds int) cost {
	f := joinedFleet(t, n)
	loads := make(map[string]float64)
	f.run(2 * time.Minute)
	f.walkLoads(loads)
	f.resetTraffic()
	for range seconds {
		f.walkLoads(loads)
		f.run(time.Second)
	}
	mean, worst, calls := f.bytesPerSecond(float64(seconds))
	return cost{mean: mean, worst: worst, calls: calls, loadError: f.loadError(loads)}
}

func TestCostIsWithinItsShare(t *testing.T) {
	c := measureCost(t, 60, 20)
	if c.worst > maxBytesPerSecond {
		t.Errorf("a node among 60 costs %.0f B/s, over %d", c.worst, maxBytesPerSecond)
	}
}

// BenchmarkCost prints the bytes (in and out) and calls a second of one node,
// by the number of members, over two minutes in which all loads change.
func BenchmarkCost(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				c := measureCost(b, n, 120)
				b.ReportMetric(c.mean, "B/s")
				b.ReportMetric(c.worst, "worst-B/s")
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

// TestRegions runs three regions of 20 with one seed of another region each.
func TestRegions(t *testing.T) {
	f := newFleet(t)
	names := []string{"east", "north", "west"}
	for i, region := range names {
		for j := range 20 {
			f.add(region, j, nodeName(region, 0), nodeName(names[(i+1)%3], 0))
		}
	}
	took := f.until(time.Minute, func() bool { return f.allKnowRegions(2, 20) })
	t.Logf("60 nodes in 3 regions: all know the other regions after %v", took)
	for _, table := range f.tables {
		for _, m := range table.Snapshot().Members() {
			if m.Region != table.self.wire.Region {
				t.Fatalf("%s of region %s is held as a member in %s", m.Name, m.Region, table.self.wire.Region)
			}
		}
	}

	f.tables[nodeName("east", 7)].SetStatus(f.now, 0, 2)
	spread := f.until(20*time.Second, func() bool { return f.allHeard(2) })
	t.Logf("a new revision was heard of in all regions after %v", spread)

	f.resetTraffic()
	f.run(time.Minute)
	mean, worst, _ := f.bytesPerSecond(60)
	t.Logf("%.0f B/s a node, worst %.0f", mean, worst)
	if worst > 2*maxBytesPerSecond {
		t.Errorf("a relay costs %.0f B/s", worst)
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

// BenchmarkNodeSecond is one second of one node among 60, its messages'
// encoding included; ns/op against 1e9 is the part of a core.
func BenchmarkNodeSecond(b *testing.B) {
	f := joinedFleet(b, 60)
	loads := make(map[string]float64)
	b.ReportAllocs()
	b.ResetTimer()
	for done := 0; done < b.N; done += 60 {
		f.walkLoads(loads)
		f.run(time.Second)
	}
}

// BenchmarkLetterSize runs 360 nodes in 6 regions, each node with the first one
// of its own and of the next region as seeds. One node takes in a new revision
// of the configuration each 18 s.
func BenchmarkLetterSize(b *testing.B) {
	const regions, perRegion = 6, 60
	for range b.N {
		f := newFleet(b)
		for i := range regions {
			own, next := regionName(i), regionName((i+1)%regions)
			for j := range perRegion {
				f.add(own, j, nodeName(own, 0), nodeName(next, 0))
			}
		}
		known := f.until(2*time.Minute, func() bool { return f.allKnowRegions(regions-1, perRegion) })
		f.run(2 * time.Minute)
		f.tables[nodeName(regionName(0), 7)].SetStatus(f.now, 0, 2)
		spread := f.until(time.Minute, func() bool { return f.allHeard(2) })
		f.run(time.Minute)
		f.resetTraffic()
		loads := make(map[string]float64)
		for i := range 60 {
			f.walkLoads(loads)
			if i%18 == 0 {
				revision := int64(3 + i)
				f.tables[nodeName(regionName(i%regions), i)].SetStatus(f.now, 0, revision)
			}
			f.run(time.Second)
		}
		mean, worst, _ := f.bytesPerSecond(60)
		b.ReportMetric(mean, "B/s")
		b.ReportMetric(worst, "worst-B/s")
		b.ReportMetric(known.Seconds(), "known-s")
		b.ReportMetric(spread.Seconds(), "revision-s")
	}
}

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

// allHeard reports whether all nodes have heard of the revision.
func (f *fleet) allHeard(revision int64) bool {
	for _, table := range f.tables {
		if table.Snapshot().NewestRevision() < revision {
			return false
		}
	}
	return true
}
